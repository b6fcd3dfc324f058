import type {
  KeyValueStore,
  StoredValue,
  Watch,
  WatchEvent,
} from '@daisyferry/store/key-value-store';

export interface PrefixListener {
  /** All values under the prefix, after the start and after each interruption. */
  onSnapshot(values: readonly StoredValue[]): void;
  onEvents(events: readonly WatchEvent[]): void;
  onLost(detail: string): void;
}

/** Time for one call to the store, in ms: far above its usual few milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Pauses before the store is asked again, in ms; doubled up to the greatest. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;

/** Follows all keys under a prefix: reads them once, then watches; starts over when that breaks. */
export class PrefixFollower {
  /** True while the watch is up. */
  isFollowing = false;

  private watch: Watch | undefined;

  private pauseMs = MIN_PAUSE_MS;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  constructor(
    private readonly store: KeyValueStore,
    private readonly prefix: string,
    private readonly listener: PrefixListener,
  ) {}

  start(): void {
    this.readAll().catch((error: unknown) => this.retry(String(error)));
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watch?.stop();
  }

  private async readAll(): Promise<void> {
    const result = await this.store.range({ key: this.prefix, prefix: true }, CALL_TIMEOUT_MS);
    if (this.isStopped) return;
    if (!result.ok) {
      this.retry(result.detail);
      return;
    }
    this.pauseMs = MIN_PAUSE_MS;
    this.isFollowing = true;
    this.listener.onSnapshot(result.value.values);
    this.watch = this.store.watch(
      { key: this.prefix, prefix: true, fromRevision: result.value.storeRevision + 1 },
      {
        onEvents: (events) => this.listener.onEvents(events),
        onEnd: (reason) => this.retry(`watch ended: ${reason}`),
      },
    );
  }

  private retry(detail: string): void {
    if (this.isStopped) return;
    if (this.isFollowing) {
      this.isFollowing = false;
      this.listener.onLost(detail);
    }
    this.timer = setTimeout(() => this.start(), this.pauseMs);
    this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
  }
}
