import type { Socket } from 'node:net';

/** Maximum total size of the frames that are concatenated into one write. */
const MAX_JOINED_BYTES = 65_536;

/** Writes frames to a connection, batching those of one iteration of the event loop. */
export class FrameWriter {
  private frames: Buffer[] = [];

  private isFlushScheduled = false;

  constructor(private readonly socket: Socket) {}

  write(frame: Buffer): void {
    this.frames.push(frame);
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isFlushScheduled = false;
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
