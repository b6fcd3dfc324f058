import type { BodyReservation } from '@daisyferry/mesh/buffer-budget';
import type { Socket } from 'node:net';
import { bodyBytesOfFrame } from './frame';
import { OutgoingBodies } from './outgoing-bodies';

/** Maximum total size of the frames that are concatenated into one write. */
const MAX_JOINED_BYTES = 65_536;

/** Bytes in the socket's buffer up to which parts of large bodies are added. */
const MAX_BUFFERED_BODY_BYTES = 65_536;
/** Parts sent in one iteration of the event loop; other frames are sent between iterations. */
const MAX_PARTS_PER_ITERATION = 4;
/** Bytes of body parts that may be under way, so that other frames never wait behind more. */
const BODY_WINDOW_BYTES = 262_144;
/** Size from which a body is sent in parts. */
export const MIN_BODY_BYTES_FOR_PARTS = 65_536;

/** Writes frames to a connection, batching those of one iteration of the event loop. */
export class FrameWriter {
  private frames: Buffer[] = [];

  private frameBytes = 0;

  private isFlushScheduled = false;

  private readonly bodies = new OutgoingBodies();

  /** Bytes of body parts that the receiver has not credited yet. */
  private bytesUnderWay = 0;

  private arePartsScheduled = false;

  private hasEnded = false;

  /** `unsent` counts the frames that the system has not taken, beside bodies that are sent in parts. */
  constructor(
    private readonly socket: Socket,
    private readonly unsent: BodyReservation,
  ) {
    socket.on('drain', () => {
      this.countUnsent();
      this.sendBodyParts();
    });
    socket.on('close', () => {
      this.takeFrames();
      this.bodies.removeAll();
      unsent.release();
    });
  }

  /** Tells whether there is memory for a frame of that size until the system takes it. */
  hasMemoryFor(bytes: number): boolean {
    return this.unsent.resize(this.socket.writableLength + this.frameBytes + bytes);
  }

  /** True while frames or parts of large bodies are not sent. */
  get hasUnsentBytes(): boolean {
    const { socket, frames, bodies } = this;
    const isWaiting = frames.length > 0 || !bodies.isEmpty || socket.writableLength > 0;
    return isWaiting && !socket.destroyed;
  }

  /** Sends the frames that were written and ends this side of the connection; later ones are dropped. */
  end(): void {
    this.flush();
    this.bodies.removeAll();
    this.hasEnded = true;
    this.socket.end();
  }

  write(frame: Buffer): void {
    if (this.hasEnded) return;
    this.frames.push(frame);
    this.frameBytes += frame.length;
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  /**
   * Sends a large body in parts, between which other frames are sent. The frame that announces its
   * length must have been written. `onReleased` is called once no part of the body is left here.
   */
  writeBody(stream: number, body: Buffer, onReleased: () => void = () => undefined): void {
    if (this.socket.destroyed || this.hasEnded) {
      onReleased();
      return;
    }
    this.bodies.add(stream, body, onReleased);
    // Parts are written directly and must not overtake the frame that announces the body.
    this.flush();
    this.scheduleBodyParts();
  }

  /** Drops the rest of a body, as the receiver no longer needs it. */
  cancelBody(stream: number): void {
    this.bodies.remove(stream);
  }

  /** Called when the receiver has taken that many bytes of body parts. */
  addBodyCredit(bytes: number): void {
    this.bytesUnderWay = Math.max(0, this.bytesUnderWay - bytes);
    this.sendBodyParts();
  }

  private sendBodyParts(): void {
    const { socket, bodies } = this;
    for (let count = 0; count < MAX_PARTS_PER_ITERATION; count += 1) {
      const hasRoom =
        socket.writableLength < MAX_BUFFERED_BODY_BYTES && this.bytesUnderWay < BODY_WINDOW_BYTES;
      const frame = socket.destroyed || !hasRoom ? undefined : bodies.nextFrame();
      // A drained socket or more credit resumes the bodies that are left.
      if (frame === undefined) return;
      this.bytesUnderWay += bodyBytesOfFrame(frame);
      socket.write(frame);
      this.unsent.recordCopy(frame.length);
    }
    if (!bodies.isEmpty) this.scheduleBodyParts();
  }

  private scheduleBodyParts(): void {
    if (this.arePartsScheduled) return;
    this.arePartsScheduled = true;
    setImmediate(() => {
      this.arePartsScheduled = false;
      this.sendBodyParts();
    });
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const { socket } = this;
    const frames = this.takeFrames();
    if (socket.destroyed || frames.length === 0) return;
    const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
    const [first] = frames;
    if (frames.length === 1 && first !== undefined) {
      socket.write(first);
    } else if (bytes <= MAX_JOINED_BYTES) {
      socket.write(Buffer.concat(frames, bytes));
    } else {
      socket.cork();
      for (const frame of frames) socket.write(frame);
      socket.uncork();
    }
    this.countUnsent();
  }

  private takeFrames(): readonly Buffer[] {
    const { frames } = this;
    this.frames = [];
    this.frameBytes = 0;
    return frames;
  }

  /** Counts less once the system has taken frames, which 'drain' does not report for small ones. */
  countUnsent(): void {
    const bytes = this.socket.writableLength + this.frameBytes;
    if (bytes < this.unsent.bytes) this.unsent.resize(bytes);
  }
}
