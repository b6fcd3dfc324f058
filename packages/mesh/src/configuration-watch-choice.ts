/** Daemons of the fleet that watch the configuration, so that one may be lost. */
const WATCHERS = 2;
/** Time without enough watchers after which another daemon watches. */
const START_AFTER_MS = 1_000;
/** Time with enough others after which a daemon no longer watches. */
const STOP_AFTER_MS = 3_000;

/**
 * Decides which of the daemons that follow the store watch the configuration too: the first in rank,
 * which report changes to the others. Load that it answers: each change ends each watch, and the
 * platform charges for the next ones.
 */
export class ConfigurationWatchChoice {
  private isWatching = true;

  private otherwiseSinceMs: number | undefined;

  /** @param watchersAhead Connected daemons that follow the store and are first in rank. */
  decide(watchersAhead: number, nowMs: number): boolean {
    const isWanted = watchersAhead < WATCHERS;
    if (isWanted === this.isWatching) {
      this.otherwiseSinceMs = undefined;
      return this.isWatching;
    }
    this.otherwiseSinceMs ??= nowMs;
    const afterMs = isWanted ? START_AFTER_MS : STOP_AFTER_MS;
    if (nowMs - this.otherwiseSinceMs >= afterMs) {
      this.isWatching = isWanted;
      this.otherwiseSinceMs = undefined;
    }
    return this.isWatching;
  }

  /** A daemon that begins to follow the store watches at first. */
  reset(): void {
    this.isWatching = true;
    this.otherwiseSinceMs = undefined;
  }
}
