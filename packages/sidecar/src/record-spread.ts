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
const MAX_WAIT_MS = 800;
const CHECK_INTERVAL_MS = 10;

/** Waits until this daemon's record is known outside of its process. */
export class RecordSpread {
  constructor(private readonly parts: RecordSpreadParts) {}

  /**
   * Resolves once the store has the record, which it holds even if all daemons end at once; with
   * false if the store does not take it in time.
   */
  async whenStored(): Promise<boolean> {
    const { isStored, writeNow, clock } = this.parts;
    if (isStored()) return true;
    writeNow();
    const untilMs = clock() + MAX_WAIT_MS;
    while (clock() < untilMs) {
      await delay(CHECK_INTERVAL_MS);
      if (isStored()) return true;
    }
    return false;
  }

  /**
   * Resolves like `whenStored`. Where the store does not take the record in time, connected peers
   * suffice, which were sent it when it changed.
   */
  async whenKnown(): Promise<boolean> {
    return (await this.whenStored()) || this.parts.isPeerConnected();
  }
}
