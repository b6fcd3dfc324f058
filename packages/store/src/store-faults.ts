/** Faults that the stand-ins for the store can simulate. */
export const StoreFaultMode = {
  /** Responds immediately. */
  ok: 'ok',
  /** Responds after a delay; the call takes effect after the delay. */
  slow: 'slow',
  /** Rejects every call before it takes effect and ends all watches. */
  down: 'down',
  /** Applies writes and drops the responses to them. */
  loseAnswers: 'loseAnswers',
} as const;

export type StoreFaultModeName = (typeof StoreFaultMode)[keyof typeof StoreFaultMode];

export interface StoreFaults {
  readonly mode: StoreFaultModeName;
  /** Delay of each response in ms, in mode `slow`. */
  readonly delayMs: number;
}

/** Calls counted by kind, as the platform counts them; an open watch counts as one call. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly leases: number;
}

export const NO_STORE_FAULTS: StoreFaults = { mode: StoreFaultMode.ok, delayMs: 0 };
