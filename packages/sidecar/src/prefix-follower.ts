import type {
  KeyValueStore,
  StoredValue,
  Watch,
  WatchEvent,
} from '@daisyferry/store/key-value-store';

export interface PrefixListener {
  /** Called when a read of all values begins. */
  onReadBegun?(): void;
  /** Called with all values under the prefix, after the start and after each interruption. */
  onSnapshot(values: readonly StoredValue[]): void;
  onEvents(events: readonly WatchEvent[]): void;
  /** Called when a read failed or the watch ended; the follower goes on trying. */
  onInterrupted(detail: string): void;
}

/** Timeout of one call to the store, which usually takes a few milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Backoff between two attempts to read the store; it doubles up to the maximum. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_600;

/** Reads, then watches, all keys under a prefix while it is started. */
export class PrefixFollower {
  private watch: Watch | undefined;

  private backoffMs = MIN_BACKOFF_MS;

  private timer: NodeJS.Timeout | undefined;

  private isRunning = false;

  /** Increases with each start and stop, so that results of earlier reads are ignored. */
  private generation = 0;

  /** @param maxSilenceMs Bound on the silence of a watch; undefined where its owner bounds it. */
  constructor(
    private readonly store: KeyValueStore,
    private readonly prefix: string,
    private readonly listener: PrefixListener,
    private readonly maxSilenceMs?: number,
  ) {}

  get isStarted(): boolean {
    return this.isRunning;
  }

  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.generation += 1;
    this.backoffMs = MIN_BACKOFF_MS;
    this.attempt();
  }

  stop(): void {
    this.isRunning = false;
    this.generation += 1;
    clearTimeout(this.timer);
    this.watch?.stop();
    this.watch = undefined;
  }

  /** Reads and watches anew, as the watch may hear nothing. */
  restart(): void {
    if (!this.isRunning) return;
    this.stop();
    this.start();
  }

  private attempt(): void {
    const { generation } = this;
    this.readAndWatch(generation).catch((error: unknown) =>
      this.scheduleRetry(generation, String(error)),
    );
  }

  private async readAndWatch(generation: number): Promise<void> {
    this.listener.onReadBegun?.();
    const result = await this.store.range({ key: this.prefix, prefix: true }, CALL_TIMEOUT_MS);
    if (generation !== this.generation) return;
    if (!result.ok) {
      this.scheduleRetry(generation, result.detail);
      return;
    }
    this.backoffMs = MIN_BACKOFF_MS;
    this.listener.onSnapshot(result.value.values);
    // The listener may have stopped this follower.
    if (generation !== this.generation) return;
    this.watch = this.store.watch(
      {
        key: this.prefix,
        prefix: true,
        fromRevision: result.value.storeRevision + 1,
        ...(this.maxSilenceMs === undefined ? {} : { maxSilenceMs: this.maxSilenceMs }),
      },
      {
        onEvents: (events) => this.listener.onEvents(events),
        onEnd: (reason) => this.scheduleRetry(generation, `watch ended: ${reason}`),
      },
    );
  }

  private scheduleRetry(generation: number, detail: string): void {
    if (generation !== this.generation) return;
    // First, as an error of the listener must not end the following.
    this.timer = setTimeout(() => this.attempt(), this.backoffMs);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    this.listener.onInterrupted(detail);
  }
}
