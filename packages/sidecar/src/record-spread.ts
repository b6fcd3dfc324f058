import { setImmediate as nextIteration, setTimeout as delay } from 'node:timers/promises';

export interface RecordSpreadParts {
  readonly isPeerConnected: () => boolean;
  /** True while the store has this daemon's present record. */
  readonly isStored: () => boolean;
  /** Writes the record to the store without further delay. */
  readonly writeNow: () => void;
  readonly clock: () => number;
}

/** Longest wait for the store; a target takes an acknowledgement within a second. */
const MAX_WAIT_MS = 600;
const CHECK_INTERVAL_MS = 20;
/** Iterations of the event loop after which frames are written: one batches them, one writes. */
const FLUSH_ITERATIONS = 2;

/**
 * Waits until another process knows this daemon's record, so that what it acknowledges outlives it:
 * connected peers, whose frames the system delivers even if this process is killed, or the store.
 * Without either, as for a daemon alone while the store is away, the wait ends all the same: the
 * target would leave without an acknowledgement otherwise.
 */
export class RecordSpread {
  constructor(private readonly parts: RecordSpreadParts) {}

  async wait(): Promise<void> {
    const { isPeerConnected, isStored, writeNow, clock } = this.parts;
    if (isPeerConnected()) {
      for (let count = 0; count < FLUSH_ITERATIONS; count += 1) await nextIteration();
      return;
    }
    const untilMs = clock() + MAX_WAIT_MS;
    if (!isStored()) writeNow();
    while (!isStored() && clock() < untilMs) await delay(CHECK_INTERVAL_MS);
  }
}
