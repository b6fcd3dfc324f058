import type { StoreFailure } from './key-value-store';

/** The call did certainly not take effect. */
export function refusedFailure(detail: string): StoreFailure {
  return { ok: false, kind: 'refused', detail };
}

/** The answer was lost; the call may have taken effect, now or later. */
export function undecidedFailure(detail: string): StoreFailure {
  return { ok: false, kind: 'undecided', detail };
}
