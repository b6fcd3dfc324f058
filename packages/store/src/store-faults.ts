/** Faults that the stand-ins of the store bring about. */
export const StoreFaultMode = {
  /** Answers at once. */
  ok: 'ok',
  /** Answers after a delay; the call takes effect after the delay. */
  slow: 'slow',
  /** Refuses every call before it takes effect and ends all watches. */
  down: 'down',
  /** Carries out writes and loses their answers. */
  loseAnswers: 'loseAnswers',
} as const;

export type StoreFaultModeName = (typeof StoreFaultMode)[keyof typeof StoreFaultMode];

export interface StoreFaults {
  readonly mode: StoreFaultModeName;
  /** Delay of each answer in ms, in the mode `slow`. */
  readonly delayMs: number;
}

/** Calls counted by kind, as the platform counts them; a waiting watch counts as one. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly leases: number;
}

export const NO_STORE_FAULTS: StoreFaults = { mode: StoreFaultMode.ok, delayMs: 0 };
