import type { StoreFailure } from './key-value-store';

/** Creates the failure of a call that did not take effect. */
export function refusedFailure(detail: string): StoreFailure {
  return { ok: false, kind: 'refused', detail };
}

/** Creates the failure of a call that lost its response; it may take effect, now or later. */
export function undecidedFailure(detail: string): StoreFailure {
  return { ok: false, kind: 'undecided', detail };
}
