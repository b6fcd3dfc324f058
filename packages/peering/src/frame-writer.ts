import type { Socket } from 'node:net';

/** Frames of up to this many bytes in all are joined into one write. */
const MAX_JOINED_BYTES = 65_536;

/** Writes frames to a connection; the frames of one turn of the event loop go out together. */
export class FrameWriter {
  private frames: Buffer[] = [];

  private isScheduled = false;

  constructor(private readonly socket: Socket) {}

  write(frame: Buffer): void {
    this.frames.push(frame);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isScheduled = false;
    const { frames, socket } = this;
    this.frames = [];
    if (socket.destroyed) return;
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
  }
}
