import { setTimeout as delay } from 'node:timers/promises';

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
const CHECK_INTERVAL_MS = 10;

/**
 * Waits until what this daemon is about to acknowledge outlives it: in the store, which holds it
 * even if all daemons end at once. While the store is away, connected peers have to do, which were
 * sent the record when it changed.
 */
export class RecordSpread {
  constructor(private readonly parts: RecordSpreadParts) {}

  /** Resolves with false if no other process knows the record. */
  async wait(): Promise<boolean> {
    const { isPeerConnected, isStored, writeNow, clock } = this.parts;
    if (isStored()) return true;
    writeNow();
    const untilMs = clock() + MAX_WAIT_MS;
    while (clock() < untilMs) {
      await delay(CHECK_INTERVAL_MS);
      if (isStored()) return true;
    }
    return isPeerConnected();
  }
}
