import pino, { type Logger } from 'pino';

/** Lines of one kind that may be written in one second; the rest is counted. */
const LINES_PER_S = 30;
const MS_PER_S = 1_000;
/** Bytes collected before a write; a write happens at least once a second. */
const WRITE_BYTES = 4_096;
/** Bytes held when the reader of the output is slow; later lines are dropped. */
const MAX_HELD_BYTES = 1_048_576;
const STDOUT = 1;

/** Structured log of one daemon on standard output: bounded in volume, never waited for. */
export class EventLog {
  private readonly logger: Logger;

  private secondStartMs = 0;

  private written = 0;

  private suppressed = 0;

  private readonly destination = pino.destination({
    fd: STDOUT,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_HELD_BYTES,
  });

  constructor(
    bindings: Readonly<Record<string, string>>,
    private readonly clock: () => number,
  ) {
    this.logger = pino({ base: bindings }, this.destination);
  }

  /** A decision that touches one request; its fields name the request's id. */
  decision(message: string, fields: Readonly<Record<string, unknown>>): void {
    const nowMs = this.clock();
    if (nowMs - this.secondStartMs >= MS_PER_S) this.nextSecond(nowMs);
    if (this.written >= LINES_PER_S) {
      this.suppressed += 1;
      return;
    }
    this.written += 1;
    this.logger.info(fields, message);
  }

  /** A change of what the process believes, or an event of its life. */
  belief(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.info(fields, message);
  }

  warn(message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.logger.warn(fields, message);
  }

  /** Writes what is held; called about once a second. */
  flush(): void {
    this.destination.flush();
  }

  /** Writes what is held before the process ends. */
  flushSync(): void {
    this.destination.flushSync();
  }

  private nextSecond(nowMs: number): void {
    if (this.suppressed > 0) {
      this.logger.warn({ suppressedLines: this.suppressed }, 'log lines were suppressed');
    }
    this.secondStartMs = nowMs;
    this.written = 0;
    this.suppressed = 0;
  }
}
