import { encodeFrame, FrameKind } from './frame';

/** Size of one part of a body; small, so that other frames are sent between the parts. */
const PART_BYTES = 16_384;

interface OutgoingBody {
  readonly stream: number;
  readonly body: Buffer;
  /** Called once the body is no longer needed here. */
  readonly onReleased: () => void;
  position: number;
}

/** Large bodies that wait to be sent on one connection: one part of each in turn. */
export class OutgoingBodies {
  private readonly bodies: OutgoingBody[] = [];

  get isEmpty(): boolean {
    return this.bodies.length === 0;
  }

  add(stream: number, body: Buffer, onReleased: () => void): void {
    this.bodies.push({ stream, body, onReleased, position: 0 });
  }

  /** Drops the rest of a body, as the receiver no longer needs it. */
  remove(stream: number): void {
    const index = this.bodies.findIndex((body) => body.stream === stream);
    if (index >= 0) this.bodies.splice(index, 1)[0]?.onReleased();
  }

  /** Drops all bodies, as the connection has ended. */
  removeAll(): void {
    for (const { onReleased } of this.bodies.splice(0)) onReleased();
  }

  /** Encodes the next part; undefined if no body is left. */
  nextFrame(): Buffer | undefined {
    const next = this.bodies.shift();
    if (next === undefined) return undefined;
    const { stream, body, position } = next;
    next.position = Math.min(body.length, position + PART_BYTES);
    const frame = encodeFrame(
      FrameKind.bodyPart,
      stream,
      '',
      body.subarray(position, next.position),
    );
    if (next.position < body.length) this.bodies.push(next);
    else next.onReleased();
    return frame;
  }
}
