import { setTimeout as delay } from 'node:timers/promises';
import pino, { type Logger } from 'pino';

/** Maximum number of decision lines a second; further ones are counted but not written. */
const MAX_DECISION_LINES_PER_SECOND = 30;
const MS_PER_SECOND = 1_000;
/** Bytes buffered before a write. */
const MIN_WRITE_BYTES = 4_096;
/** Bytes buffered while the reader of the output is slow; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;
/** Longest time for which the end of the process waits until its output is taken. */
const MAX_DRAIN_MS = 200;

/** Structured log of one daemon on standard output; rate-limited and non-blocking. */
export class EventLog {
  private readonly logger: Logger;

  private secondStartMs = 0;

  private linesThisSecond = 0;

  private suppressedLines = 0;

  private drained: Promise<void> | undefined;

  private readonly destination = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });

  constructor(
    bindings: Readonly<Record<string, string>>,
    private readonly clock: () => number,
  ) {
    this.logger = pino({ base: bindings }, this.destination);
    // A daemon serves on although nobody reads its log any more.
    this.destination.on('error', () => undefined);
  }

  /** Logs a decision about one request, with its id among the fields. Rate-limited. */
  decision(message: string, fields: Readonly<Record<string, unknown>>): void {
    const nowMs = this.clock();
    if (nowMs - this.secondStartMs >= MS_PER_SECOND) this.startSecond(nowMs);
    if (this.linesThisSecond >= MAX_DECISION_LINES_PER_SECOND) {
      this.suppressedLines += 1;
      return;
    }
    this.linesThisSecond += 1;
    this.logger.info(fields, message);
  }

  /** Logs a change in the state of the daemon or in its view of its peers. Not rate-limited. */
  stateChange(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.info(fields, message);
  }

  warn(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.warn(fields, message);
  }

  /** Writes the buffered lines; called about once a second. */
  flush(): void {
    this.destination.flush();
  }

  /** Logs why the process ends. */
  processEnd(cause: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.warn({ cause, ...fields }, 'process ends');
  }

  /**
   * Writes the buffered lines before the process ends; nothing is logged after it. Lines that nobody
   * takes are dropped: a write that waits for a reader would outlast the grace.
   */
  drain(): Promise<void> {
    this.drained ??= this.writeOrDrop();
    return this.drained;
  }

  /** Writes the buffered lines at once, however long the output takes them. */
  flushSync(): void {
    this.destination.flushSync();
  }

  private async writeOrDrop(): Promise<void> {
    const { destination } = this;
    const written = new Promise<boolean>((resolve) => {
      destination.once('finish', () => resolve(true));
    });
    destination.end();
    const isWritten = await Promise.race([written, delay(MAX_DRAIN_MS, false)]);
    if (!isWritten) destination.destroy();
  }

  private startSecond(nowMs: number): void {
    if (this.suppressedLines > 0) {
      this.logger.warn(
        { suppressedLines: this.suppressedLines },
        'log lines suppressed by the rate limit',
      );
    }
    this.secondStartMs = nowMs;
    this.linesThisSecond = 0;
    this.suppressedLines = 0;
  }
}
