/** Bytes taken before the sender is told; a quarter of its window. */
const CREDIT_BYTES = 65_536;

interface IncomingBody {
  readonly parts: Buffer[];
  missingBytes: number;
  readonly onComplete: (body: Buffer) => void;
}

/** Large bodies that arrive in parts on one connection. */
export class IncomingBodies {
  private readonly bodies = new Map<number, IncomingBody>();

  private uncreditedBytes = 0;

  /** `sendCredit` tells the sender how many bytes of parts were taken. */
  constructor(private readonly sendCredit: (bytes: number) => void) {}

  /** Expects a body of `bytes` bytes, more than none, on the stream. */
  expect(stream: number, bytes: number, onComplete: (body: Buffer) => void): void {
    this.bodies.set(stream, { parts: [], missingBytes: bytes, onComplete });
  }

  /** Drops what has arrived of a body. Returns true if it was incomplete. */
  discard(stream: number): boolean {
    return this.bodies.delete(stream);
  }

  discardAll(): void {
    this.bodies.clear();
    this.uncreditedBytes = 0;
  }

  /** Adds a part; parts of streams that were dropped are ignored. */
  append(stream: number, part: Buffer): void {
    this.credit(part.length);
    const incoming = this.bodies.get(stream);
    if (incoming === undefined) return;
    // A part is a view of the bytes that were read with it, which would stay in memory otherwise.
    incoming.parts.push(Buffer.from(part));
    incoming.missingBytes -= part.length;
    if (incoming.missingBytes > 0) return;
    this.bodies.delete(stream);
    incoming.onComplete(Buffer.concat(incoming.parts));
  }

  private credit(bytes: number): void {
    this.uncreditedBytes += bytes;
    if (this.uncreditedBytes < CREDIT_BYTES) return;
    this.sendCredit(this.uncreditedBytes);
    this.uncreditedBytes = 0;
  }
}
