import { InputBuffer } from '@daisyferry/http1/input-buffer';

/** Kinds of frames between two daemons; the numbers are part of the protocol. */
export const FrameKind = {
  hello: 1,
  call: 2,
  reply: 3,
  cancel: 4,
  resolve: 5,
  ping: 6,
  pong: 7,
  record: 8,
  configuration: 9,
  configurationRequest: 10,
  view: 11,
  level: 12,
  /** A part of a large body whose length a call or reply of the same stream has announced. */
  bodyPart: 13,
  /** The stream field is the number of bytes of body parts that the receiver has taken. */
  bodyCredit: 14,
  /** Requests all records that the receiver knows. */
  viewRequest: 15,
  /** All records that the sender, which follows the store, found there. */
  snapshot: 16,
  /** Records that were written to or removed from the store. */
  changes: 17,
  /** The receiver's record is missing in the store. */
  recordMissing: 18,
  /** Whether the sender follows the store. */
  reading: 19,
  /** Requests that were running when targets crashed, or that have been cleared of it. */
  crashes: 20,
  /** Requests a part of the quotas of client accounts, see `docs/design/client-accounts.md`. */
  quotaRequest: 21,
  quotaGrant: 22,
  /** Requests how old the receiver's knowledge of the configuration is. */
  freshnessRequest: 23,
  freshness: 24,
  /** How short a service is that the sender's target calls. */
  shortage: 25,
} as const;

export type FrameKindNumber = (typeof FrameKind)[keyof typeof FrameKind];

const ANSWERED_KINDS: ReadonlySet<FrameKindNumber> = new Set([
  FrameKind.ping,
  FrameKind.configurationRequest,
  FrameKind.viewRequest,
  FrameKind.quotaRequest,
  FrameKind.freshnessRequest,
]);

/** True for frames that belong to no call and that the receiver answers at once. */
export function isAnsweredKind(kind: FrameKindNumber): boolean {
  return ANSWERED_KINDS.has(kind);
}

export interface Frame {
  readonly kind: number;
  /** Number of the frame's call, assigned by the side that opened the connection. */
  readonly stream: number;
  /** JSON text whose structure depends on the kind. */
  readonly head: string;
  readonly body: Buffer;
}

/** Size of the fields before the head: length of the rest, kind, stream, length of the head. */
const PREFIX_BYTES = 13;
const LENGTH_BYTES = 4;
/** Maximum size of a frame; the largest ones have the records of all daemons. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024;
const EMPTY: Buffer = Buffer.alloc(0);

export function encodeFrame(
  kind: FrameKindNumber,
  stream: number,
  head: string,
  body = EMPTY,
): Buffer {
  const headBytes = Buffer.byteLength(head);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + headBytes + body.length);
  frame.writeUInt32BE(frame.length - LENGTH_BYTES, 0);
  frame.writeUInt8(kind, 4);
  frame.writeUInt32BE(stream, 5);
  frame.writeUInt32BE(headBytes, 9);
  frame.write(head, PREFIX_BYTES, 'utf8');
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
}

/** Length of the body of a frame without a head. */
export function bodyBytesOfFrame(frame: Buffer): number {
  return frame.length - PREFIX_BYTES;
}

/** Parses the frames in the byte stream of a connection. */
export class FrameReader {
  private readonly input = new InputBuffer();

  /** Frames above this size are malformed. */
  maxFrameBytes = MAX_FRAME_BYTES;

  /** Returns false on a malformed frame, after which the connection is unusable. */
  push(chunk: Buffer, onFrame: (frame: Frame) => void): boolean {
    this.input.push(chunk);
    let isWellFormed = true;
    this.input.consume((bytes) => {
      let position = 0;
      while (bytes.length - position >= PREFIX_BYTES) {
        const end = position + LENGTH_BYTES + bytes.readUInt32BE(position);
        const headStart = position + PREFIX_BYTES;
        const headEnd = headStart + bytes.readUInt32BE(position + 9);
        isWellFormed = end - position <= this.maxFrameBytes && headEnd <= end;
        if (!isWellFormed || end > bytes.length) break;
        onFrame({
          kind: bytes.readUInt8(position + 4),
          stream: bytes.readUInt32BE(position + 5),
          head: bytes.toString('utf8', headStart, headEnd),
          body: bytes.subarray(headEnd, end),
        });
        position = end;
      }
      return position;
    });
    return isWellFormed;
  }
}
