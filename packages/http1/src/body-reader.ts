import { ByteAccumulator } from './byte-accumulator';
import type { BodyFraming } from './message';

const CHUNK_SIZE_LINE = /^([0-9A-Fa-f]{1,8})(?:[ \t]*;.*)?$/;
/** Maximum length of a chunk-size or trailer line; far above common lengths. */
const MAX_LINE_BYTES = 4_096;
/** Maximum total length of the trailer lines of a body. */
const MAX_TRAILER_BYTES = 16_384;
const CR = 13;
const LF = 10;
const MAX_SIZE_DIGITS = 8;
const HEX_RADIX = 16;
/** Value of each byte as a hexadecimal digit, -1 for other bytes. */
const HEX_VALUES = Int8Array.from({ length: 256 }, (_, byte) => {
  const character = String.fromCharCode(byte);
  return /[0-9A-Fa-f]/.test(character) ? Number.parseInt(character, HEX_RADIX) : -1;
});

const ChunkStep = { size: 'size', data: 'data', dataEnd: 'dataEnd', trailer: 'trailer' } as const;
type ChunkStepName = (typeof ChunkStep)[keyof typeof ChunkStep];

/** Reads one message body from the bytes of a connection. */
export class BodyReader {
  isComplete: boolean;

  /** Set on a framing error, after which the connection is unusable. */
  problem: string | undefined;

  private readonly data: ByteAccumulator;

  private remainingBytes: number;

  private step: ChunkStepName = ChunkStep.size;

  private line = '';

  private trailerBytes = 0;

  constructor(private readonly framing: BodyFraming) {
    this.remainingBytes = framing.kind === 'length' ? framing.bytes : 0;
    this.isComplete = framing.kind === 'length' && framing.bytes === 0;
    this.data = new ByteAccumulator(this.remainingBytes);
  }

  get receivedBytes(): number {
    return this.data.length;
  }

  /** Memory that is held for the received bytes. */
  get heldBytes(): number {
    return this.data.heldBytes;
  }

  /** Reads bytes from position `from` on; returns the position after the last byte of the body. */
  read(bytes: Buffer, from: number): number {
    switch (this.framing.kind) {
      case 'length':
        return this.readData(bytes, from, () => {
          this.isComplete = true;
        });
      case 'untilClose':
        this.data.append(bytes, from, bytes.length);
        return bytes.length;
      case 'chunked':
        return this.readChunks(bytes, from);
      default:
        return this.framing satisfies never;
    }
  }

  /** Called when the sender closed the connection without an error. */
  endOfInput(): void {
    if (this.framing.kind === 'untilClose') this.isComplete = true;
  }

  body(): Buffer {
    return this.data.concat();
  }

  private readData(bytes: Buffer, from: number, onComplete: () => void): number {
    const end = Math.min(bytes.length, from + this.remainingBytes);
    this.data.append(bytes, from, end);
    this.remainingBytes -= end - from;
    if (this.remainingBytes === 0) onComplete();
    return end;
  }

  private readChunks(bytes: Buffer, from: number): number {
    let position = from;
    while (position < bytes.length && !this.isComplete && this.problem === undefined) {
      if (this.step === ChunkStep.data) {
        position = this.readData(bytes, position, () => {
          this.step = ChunkStep.dataEnd;
        });
      } else {
        if (this.step === ChunkStep.size && this.line === '')
          position = this.readPlainChunks(bytes, position);
        position = this.readLine(bytes, position);
      }
    }
    return position;
  }

  /** Reads chunks that are there in whole and have no extension, and returns where others start. */
  private readPlainChunks(bytes: Buffer, from: number): number {
    const limit = bytes.length;
    let position = from;
    while (position < limit) {
      let size = HEX_VALUES[bytes[position] ?? 0] ?? -1;
      if (size < 0) break;
      let sizeEnd = position + 1;
      while (sizeEnd < limit && bytes[sizeEnd] !== CR && sizeEnd - position < MAX_SIZE_DIGITS) {
        const digit = HEX_VALUES[bytes[sizeEnd] ?? 0] ?? -1;
        if (digit < 0) break;
        size = size * HEX_RADIX + digit;
        sizeEnd += 1;
      }
      const start = sizeEnd + 2;
      const end = start + size;
      if (size === 0 || end + 2 > limit) break;
      if (bytes[sizeEnd] !== CR || bytes[sizeEnd + 1] !== LF) break;
      if (bytes[end] !== CR || bytes[end + 1] !== LF) break;
      this.data.append(bytes, start, end);
      position = end + 2;
    }
    return position;
  }

  private readLine(bytes: Buffer, from: number): number {
    const lineFeed = bytes.indexOf(LF, from);
    const end = lineFeed < 0 ? bytes.length : lineFeed + 1;
    this.line += bytes.toString('latin1', from, end);
    if (this.line.length > MAX_LINE_BYTES) this.problem = 'chunk line too long';
    else if (lineFeed >= 0) this.parseLine();
    return end;
  }

  private parseLine(): void {
    const { line } = this;
    this.line = '';
    if (line.charCodeAt(line.length - 2) !== CR) {
      this.problem = 'chunk line without CRLF';
      return;
    }
    const text = line.slice(0, -2);
    if (this.step === ChunkStep.size) this.parseChunkSize(text);
    else if (this.step === ChunkStep.dataEnd) this.parseDataEnd(text);
    else this.parseTrailer(text);
  }

  /** Trailer fields are dropped; an empty line ends them. */
  private parseTrailer(text: string): void {
    this.trailerBytes += text.length;
    if (text === '') this.isComplete = true;
    else if (this.trailerBytes > MAX_TRAILER_BYTES) this.problem = 'trailer too long';
  }

  private parseDataEnd(text: string): void {
    if (text === '') this.step = ChunkStep.size;
    else this.problem = 'chunk longer than its size';
  }

  private parseChunkSize(text: string): void {
    const match = CHUNK_SIZE_LINE.exec(text);
    if (match === null) {
      this.problem = 'chunk size';
      return;
    }
    this.remainingBytes = Number.parseInt(match[1] ?? '0', 16);
    this.step = this.remainingBytes === 0 ? ChunkStep.trailer : ChunkStep.data;
  }
}
