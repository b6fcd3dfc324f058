const EMPTY = Buffer.alloc(0);
const HEAD_END = Buffer.from('\r\n\r\n');

/** Bytes received on a connection and not yet consumed. */
export class InputBuffer {
  private bytes: Buffer = EMPTY;

  get length(): number {
    return this.bytes.length;
  }

  push(chunk: Buffer): void {
    this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk]);
  }

  /** Returns the first bytes without consuming them. */
  peek(maxBytes: number): Buffer {
    return this.bytes.subarray(0, maxBytes);
  }

  /** Skips the empty lines (CR LF) that some senders put before a message. */
  skipEmptyLines(): void {
    while (this.bytes.length >= 2 && this.bytes[0] === 13 && this.bytes[1] === 10) {
      this.bytes = this.bytes.subarray(2);
    }
  }

  /** Consumes a message head and its final empty line; returns undefined until it is complete. */
  takeHead(): string | undefined {
    const end = this.bytes.indexOf(HEAD_END);
    if (end < 0) return undefined;
    const text = this.bytes.toString('latin1', 0, end);
    this.bytes = this.bytes.subarray(end + HEAD_END.length);
    return text;
  }

  /** Passes all bytes to the consumer, which returns how many it consumed. */
  consume(consumer: (bytes: Buffer) => number): void {
    if (this.bytes.length > 0) this.bytes = this.bytes.subarray(consumer(this.bytes));
    if (this.bytes.length === 0) this.bytes = EMPTY;
  }
}
