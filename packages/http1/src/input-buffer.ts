const EMPTY: Buffer = Buffer.alloc(0);
const HEAD_END = Buffer.from('\r\n\r\n');
const CR = 13;
const LF = 10;
/** Memory from which unread bytes are copied out of it once they are less than a quarter of it. */
const MIN_COMPACTED_BYTES = 16_384;

/** Bytes received on a connection and not yet consumed. */
export class InputBuffer {
  private bytes = EMPTY;

  /** Memory at whose end further bytes are added; starts with `bytes` if those are in it. */
  private block = EMPTY;

  /** Unread bytes that were searched for the end of a head, except the last three. */
  private searchedBytes = 0;

  get length(): number {
    return this.bytes.length;
  }

  /** Bytes of memory that are held for the unread bytes. */
  get heldBytes(): number {
    const { bytes, block } = this;
    if (bytes.length === 0) return 0;
    const receivedBytes = bytes.buffer.byteLength;
    // Smaller buffers may share their memory with others.
    return Math.max(
      block.length,
      bytes.length,
      receivedBytes > Buffer.poolSize ? receivedBytes : 0,
    );
  }

  push(chunk: Buffer): void {
    if (this.bytes.length === 0) this.setUnread(chunk);
    else this.add(chunk);
  }

  /** Returns the first bytes without consuming them. */
  peek(maxBytes: number): Buffer {
    return this.bytes.subarray(0, maxBytes);
  }

  /** Skips the empty lines (CR LF) that some senders put before a message. */
  skipEmptyLines(): void {
    const { bytes } = this;
    let position = 0;
    while (bytes[position] === CR && bytes[position + 1] === LF) position += 2;
    if (position > 0) this.setUnread(bytes.subarray(position));
  }

  /** Consumes a message head and its final empty line; returns undefined until it is complete. */
  takeHead(): string | undefined {
    const { bytes } = this;
    const end = bytes.indexOf(HEAD_END, this.searchedBytes);
    if (end < 0) {
      this.searchedBytes = Math.max(0, bytes.length - HEAD_END.length + 1);
      return undefined;
    }
    const text = bytes.toString('latin1', 0, end);
    this.setUnread(bytes.subarray(end + HEAD_END.length));
    return text;
  }

  /** Passes all bytes to the consumer, which returns how many it consumed. */
  consume(consumer: (bytes: Buffer) => number): void {
    if (this.bytes.length === 0) return;
    const consumedBytes = consumer(this.bytes);
    if (consumedBytes > 0) this.setUnread(this.bytes.subarray(consumedBytes));
  }

  private setUnread(bytes: Buffer): void {
    const heldBytes = bytes.buffer.byteLength;
    const isSmallPart = heldBytes > MIN_COMPACTED_BYTES && 4 * bytes.length < heldBytes;
    if (bytes.length === 0) this.bytes = EMPTY;
    else this.bytes = isSmallPart ? Buffer.from(bytes) : bytes;
    this.block = EMPTY;
    this.searchedBytes = 0;
  }

  /** Adds bytes to unread ones. The memory doubles, so that each byte is copied few times. */
  private add(chunk: Buffer): void {
    const { length } = this.bytes;
    const addedLength = length + chunk.length;
    if (addedLength > this.block.length) {
      this.block = Buffer.allocUnsafe(2 * addedLength);
      this.bytes.copy(this.block);
    }
    chunk.copy(this.block, length);
    this.bytes = this.block.subarray(0, addedLength);
  }
}
