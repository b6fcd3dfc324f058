import { ByteAccumulator } from '@daisyferry/http1/byte-accumulator';

/** Bytes taken before the sender is told; a quarter of its window. */
const CREDIT_BYTES = 65_536;

interface IncomingBody {
  readonly data: ByteAccumulator;
  missingBytes: number;
  readonly onComplete: (body: Buffer) => void;
}

/** Large bodies that arrive in parts on one connection. */
export class IncomingBodies {
  private readonly bodies = new Map<number, IncomingBody>();

  private uncreditedBytes = 0;

  /** `sendCredit` tells the sender how many bytes of parts were taken. */
  constructor(private readonly sendCredit: (bytes: number) => void) {}

  /** True until the last part of the stream's body has arrived. */
  isExpecting(stream: number): boolean {
    return this.bodies.has(stream);
  }

  /**
   * Expects a body of `bytes` bytes, more than none, on the stream. Returns false if one is arriving
   * on it, from whose parts the new ones could not be told apart.
   */
  expect(stream: number, bytes: number, onComplete: (body: Buffer) => void): boolean {
    if (this.bodies.has(stream)) return false;
    this.bodies.set(stream, { data: new ByteAccumulator(bytes), missingBytes: bytes, onComplete });
    return true;
  }

  /** Drops what has arrived of a body. Returns true if it was incomplete. */
  discard(stream: number): boolean {
    return this.bodies.delete(stream);
  }

  discardAll(): void {
    this.bodies.clear();
    this.uncreditedBytes = 0;
  }

  /**
   * Adds a part; parts of streams that were dropped are ignored. Returns false if the body is longer
   * than announced, after which the connection is unusable.
   */
  append(stream: number, part: Buffer): boolean {
    this.credit(part.length);
    const incoming = this.bodies.get(stream);
    if (incoming === undefined) return true;
    if (part.length > incoming.missingBytes) return false;
    incoming.data.append(part, 0, part.length);
    incoming.missingBytes -= part.length;
    if (incoming.missingBytes > 0) return true;
    this.bodies.delete(stream);
    incoming.onComplete(incoming.data.concat());
    return true;
  }

  private credit(bytes: number): void {
    this.uncreditedBytes += bytes;
    if (this.uncreditedBytes < CREDIT_BYTES) return;
    this.sendCredit(this.uncreditedBytes);
    this.uncreditedBytes = 0;
  }
}
