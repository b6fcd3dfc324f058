import pino, { type Logger } from 'pino';

/** Maximum number of decision lines a second; further ones are counted but not written. */
const MAX_DECISION_LINES_PER_SECOND = 30;
const MS_PER_SECOND = 1_000;
/** Bytes buffered before a write. */
const MIN_WRITE_BYTES = 4_096;
/** Bytes buffered while the reader of the output is slow; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;

/** Structured log of one daemon on standard output; rate-limited and non-blocking. */
export class EventLog {
  private readonly logger: Logger;

  private secondStartMs = 0;

  private linesThisSecond = 0;

  private suppressedLines = 0;

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

  /** Logs why the process ends, and writes all lines that are buffered. */
  processEnd(cause: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.warn({ cause, ...fields }, 'process ends');
    this.flushSync();
  }

  /** Writes the buffered lines before the process ends. */
  flushSync(): void {
    this.destination.flushSync();
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
