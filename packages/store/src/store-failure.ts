import type { StoreFailure } from './platform-store';

/** The call did certainly not take effect. */
export function refusedCall(detail: string): StoreFailure {
  return { ok: false, kind: 'refused', detail };
}

/** The answer was lost; the call may have taken effect, now or later. */
export function undecidedCall(detail: string): StoreFailure {
  return { ok: false, kind: 'undecided', detail };
}
