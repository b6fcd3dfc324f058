const EMPTY: Buffer = Buffer.alloc(0);
/** Size of the first block; each further one is as large as all blocks before it. */
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 65_536;
/**
 * Size from which a part is kept as a view if it is most of what was received with it; a first part
 * is kept if all that was received with it is not larger than this.
 */
const MIN_VIEW_BYTES = 16_384;
/** Parts up to this size are copied byte by byte, which costs less than a call. */
const MAX_LOOP_BYTES = 16;

/**
 * Bytes that arrive in parts of any size. Small parts are copied into blocks: a view of one byte
 * would occupy over 100 bytes and keep all bytes that were received with it.
 */
export class ByteAccumulator {
  /** Number of bytes added. */
  length = 0;

  /** Bytes of memory that are held for them. */
  heldBytes = 0;

  private readonly parts: Buffer[] = [];

  private blocksBytes = 0;

  private block = EMPTY;

  /** Position in the block from which bytes belong to no part yet. */
  private partStart = 0;

  private blockEnd = 0;

  /** `expectedBytes` is the number of bytes that will be added, 0 if it is not known. */
  constructor(private readonly expectedBytes = 0) {}

  /** Adds the bytes of `source` from `start` to `end`. */
  append(source: Buffer, start: number, end: number): void {
    if (end - start === 1 && this.blockEnd < this.block.length) {
      this.block[this.blockEnd] = source[start] ?? 0;
      this.blockEnd += 1;
      this.length += 1;
      return;
    }
    if (this.isKeptAsView(source, end - start)) {
      this.closePart();
      this.parts.push(source.subarray(start, end));
      this.heldBytes += this.expectedBytes > 0 ? this.expectedBytes : source.buffer.byteLength;
      this.length += end - start;
      return;
    }
    this.length += end - start;
    let position = start;
    while (position < end) {
      if (this.blockEnd === this.block.length) this.addBlock();
      const copyEnd = Math.min(end, position + this.block.length - this.blockEnd);
      this.copy(source, position, copyEnd);
      position = copyEnd;
    }
  }

  /** Returns all bytes as one buffer. */
  concat(): Buffer {
    this.closePart();
    const [first = EMPTY] = this.parts;
    return this.parts.length <= 1 ? first : Buffer.concat(this.parts, this.length);
  }

  private isKeptAsView(source: Buffer, bytes: number): boolean {
    if (this.expectedBytes > 0) return bytes === this.expectedBytes;
    if (this.length > 0 && bytes < MIN_VIEW_BYTES) return false;
    const receivedBytes = source.buffer.byteLength;
    if (this.length === 0 && receivedBytes <= MIN_VIEW_BYTES) return true;
    return bytes >= MIN_VIEW_BYTES && 2 * bytes >= receivedBytes;
  }

  private copy(source: Buffer, start: number, end: number): void {
    const { block, blockEnd } = this;
    this.blockEnd += end - start;
    if (end - start > MAX_LOOP_BYTES) {
      source.copy(block, blockEnd, start, end);
      return;
    }
    for (let offset = 0; offset < end - start; offset += 1)
      block[blockEnd + offset] = source[start + offset] ?? 0;
  }

  private addBlock(): void {
    this.closePart();
    const grownBytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.blocksBytes));
    const bytes = this.expectedBytes > 0 ? this.expectedBytes : grownBytes;
    this.block = Buffer.allocUnsafe(bytes);
    this.blocksBytes += bytes;
    this.heldBytes += bytes;
    this.partStart = 0;
    this.blockEnd = 0;
  }

  private closePart(): void {
    if (this.blockEnd > this.partStart)
      this.parts.push(this.block.subarray(this.partStart, this.blockEnd));
    this.partStart = this.blockEnd;
  }
}
