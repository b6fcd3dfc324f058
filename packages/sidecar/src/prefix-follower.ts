import type {
  KeyValueStore,
  StoredValue,
  Watch,
  WatchEvent,
} from '@daisyferry/store/key-value-store';

export interface PrefixListener {
  /** Called with all values under the prefix, after the start and after each interruption. */
  onSnapshot(values: readonly StoredValue[]): void;
  onEvents(events: readonly WatchEvent[]): void;
  onInterrupted(detail: string): void;
}

/** Timeout of one call to the store, which usually takes a few milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Backoff between two attempts to read the store; it doubles up to the maximum. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** Reads, then watches, all keys under a prefix; starts over when the watch ends. */
export class PrefixFollower {
  /** True while the watch is up. */
  isWatching = false;

  private watch: Watch | undefined;

  private backoffMs = MIN_BACKOFF_MS;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  constructor(
    private readonly store: KeyValueStore,
    private readonly prefix: string,
    private readonly listener: PrefixListener,
  ) {}

  start(): void {
    this.readAndWatch().catch((error: unknown) => this.scheduleRetry(String(error)));
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watch?.stop();
  }

  private async readAndWatch(): Promise<void> {
    const result = await this.store.range({ key: this.prefix, prefix: true }, CALL_TIMEOUT_MS);
    if (this.isStopped) return;
    if (!result.ok) {
      this.scheduleRetry(result.detail);
      return;
    }
    this.backoffMs = MIN_BACKOFF_MS;
    this.isWatching = true;
    this.listener.onSnapshot(result.value.values);
    this.watch = this.store.watch(
      { key: this.prefix, prefix: true, fromRevision: result.value.storeRevision + 1 },
      {
        onEvents: (events) => this.listener.onEvents(events),
        onEnd: (reason) => this.scheduleRetry(`watch ended: ${reason}`),
      },
    );
  }

  private scheduleRetry(detail: string): void {
    if (this.isStopped) return;
    if (this.isWatching) {
      this.isWatching = false;
      this.listener.onInterrupted(detail);
    }
    this.timer = setTimeout(() => this.start(), this.backoffMs);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
  }
}
