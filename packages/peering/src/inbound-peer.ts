import { HeldBody, type BodyReservation, type BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { ConnectionUse } from '@daisyferry/mesh/connection-choice';
import type { Attempt, CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import type { Socket } from 'node:net';
import { decodeCall, encodeCallReply } from './call-codec';
import { refusedReply } from './call-replies';
import { decodeHello, decodeResolve } from './control-codec';
import type { Frame, FrameKindNumber } from './frame';
import { encodeFrame, FrameKind, FrameReader, isAnsweredKind, MAX_FRAME_BYTES } from './frame';
import { FrameWriter, MIN_BODY_BYTES_FOR_PARTS } from './frame-writer';
import type { Hello } from './hello';
import { Liveness, LivenessProbe } from './liveness-probe';
import { IncomingBodies } from './incoming-bodies';

/** A call that the home processes for another daemon. */
export interface InboundCall {
  /** Called when the caller no longer waits for the response. */
  cancel(): void;
  /** Called when the connection broke; the entry may reconnect and query the outcome. */
  connectionLost(): void;
}

export interface PeerServerEvents {
  hello(): Hello;
  onHello(hello: Hello, peer: InboundPeer): void;
  onCall(call: ForwardedCall, body: Buffer, deliver: (reply: CallReply) => void): InboundCall;
  /**
   * Called when an entry queries the outcome of a call whose connection broke. Returns the call if
   * it is still in progress, so that the entry can cancel it over the new connection.
   */
  onResolve(attempt: Attempt, deliver: (reply: CallReply) => void): InboundCall | undefined;
  onControl(frame: Frame, peer: InboundPeer): void;
  /** Called once the connection has ended. */
  onClosed(peer: InboundPeer): void;
  /** Called when handling a frame of this kind threw an error; the connection is then closed. */
  onFailure(error: unknown, frameKind: number, peer: InboundPeer): void;
  /** Called when a connection could not be accepted. */
  onAcceptFailed(error: Error): void;
}

/** Time within which a peer sends its hello. */
const HELLO_TIMEOUT_MS = 5_000;
/** Maximum size of a frame of a peer that has not sent its hello. */
const MAX_FIRST_FRAME_BYTES = 65_536;
/** Retry-after of a call for which there is no memory. */
const NO_MEMORY_RETRY_AFTER_MS = 500;
/** Copies of a call that are held until its reply: as it arrived, decoded, and as it is passed on. */
const CALL_COPIES = 2;
/** Memory of a header field beside its characters. */
const FIELD_OVERHEAD_BYTES = 48;
const NO_MEMORY_OUTCOME = { kind: 'unknown', detail: 'no memory for the response' } as const;

/** One connection that another daemon opened to this one by its `PeerLink`, to send its calls. */
export class InboundPeer {
  private readonly writer: FrameWriter;

  private readonly reader = new FrameReader();

  private readonly calls = new Map<number, InboundCall>();

  private readonly incomingBodies = new IncomingBodies((bytes) =>
    this.writer.write(encodeFrame(FrameKind.bodyCredit, bytes, '')),
  );

  /** Memory of the calls in progress, by stream. */
  private readonly reservations = new Map<number, BodyReservation>();

  private peerAcceptsBodyParts = false;

  private hasHello = false;

  /** True once this side has ended; what arrives afterwards is dropped. */
  private hasEnded = false;

  /** Undefined until the hello of a peer that answers pings. */
  private liveness: LivenessProbe | undefined;

  private readonly openedAtMs: number;

  constructor(
    private readonly socket: Socket,
    private readonly events: PeerServerEvents,
    private readonly bufferBudget: BufferBudget,
    private readonly clock: () => number,
  ) {
    this.openedAtMs = clock();
    this.writer = new FrameWriter(socket, bufferBudget.reserve(HeldBody.response));
    this.reader.maxFrameBytes = MAX_FIRST_FRAME_BYTES;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.liveness?.recordReceived(clock());
      if (!this.reader.push(chunk, (frame) => this.receiveFrame(frame))) socket.destroy();
    });
    // 'close' always follows and handles the end of the connection.
    socket.on('error', () => undefined);
    socket.on('close', () => this.handleClose());
  }

  /** True while replies or other frames to the peer are not sent whole. */
  get hasUnsentBytes(): boolean {
    return this.writer.hasUnsentBytes;
  }

  /** True until the peer has introduced itself by its hello. */
  get isStranger(): boolean {
    return !this.hasHello;
  }

  /** What the connection is used for; without a hello it is idle. */
  get use(): ConnectionUse {
    const { hasHello, openedAtMs } = this;
    return { isBusy: hasHello, isHolding: false, hasServed: false, sinceMs: openedAtMs };
  }

  /**
   * Ends this side once all replies are sent, and reads on until the peer ends its side: its next frame
   * would reset a closed connection, and replies on the way would be lost.
   */
  end(): void {
    this.hasEnded = true;
    this.writer.end();
  }

  close(): void {
    this.socket.destroy();
  }

  /** Closes the connection if its peer is silent; called several times a second. */
  checkTimeouts(nowMs: number): void {
    this.writer.countUnsent();
    if (!this.hasHello) {
      if (nowMs - this.openedAtMs > HELLO_TIMEOUT_MS) this.socket.destroy();
      return;
    }
    const liveness = this.liveness?.check(false, nowMs);
    if (liveness === Liveness.lost) this.socket.destroy();
    if (liveness === Liveness.doubtful) this.writer.write(encodeFrame(FrameKind.ping, 0, ''));
  }

  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void {
    if (isAnsweredKind(kind)) this.liveness?.expectAnswer();
    this.writer.write(encodeFrame(kind, 0, head, body));
  }

  private receiveFrame(frame: Frame): void {
    try {
      this.handleFrame(frame);
    } catch (error) {
      this.socket.destroy();
      this.events.onFailure(error, frame.kind, this);
    }
  }

  private handleFrame(frame: Frame): void {
    // A frame that follows the one for which the connection was closed, or its end.
    if (this.socket.destroyed || this.hasEnded) return;
    switch (frame.kind) {
      case FrameKind.call:
        this.handleCall(frame);
        return;
      case FrameKind.cancel:
        this.calls.get(frame.stream)?.cancel();
        this.calls.delete(frame.stream);
        this.releaseBody(frame.stream);
        this.writer.cancelBody(frame.stream);
        return;
      case FrameKind.bodyCredit:
        this.writer.addBodyCredit(frame.stream);
        return;
      case FrameKind.bodyPart:
        if (!this.incomingBodies.append(frame.stream, frame.body)) this.socket.destroy();
        return;
      case FrameKind.resolve:
        this.handleResolve(frame);
        return;
      case FrameKind.ping:
        this.writer.write(encodeFrame(FrameKind.pong, 0, ''));
        return;
      case FrameKind.pong:
        return;
      case FrameKind.hello:
        this.handleHello(frame);
        return;
      default:
        this.events.onControl(frame, this);
    }
  }

  private handleHello(frame: Frame): void {
    const hello = decodeHello(frame.head);
    if (hello === undefined) {
      this.socket.destroy();
      return;
    }
    this.hasHello = true;
    this.reader.maxFrameBytes = MAX_FRAME_BYTES;
    this.peerAcceptsBodyParts = hello.acceptsBodyParts;
    if (hello.answersPings) this.liveness ??= new LivenessProbe(this.clock());
    this.writer.write(encodeFrame(FrameKind.hello, 0, JSON.stringify(this.events.hello())));
    this.events.onHello(hello, this);
  }

  private handleCall({ stream, head, body }: Frame): void {
    const decoded = decodeCall(head);
    if (this.isInUse(stream)) {
      this.socket.destroy();
      return;
    }
    if (decoded === undefined) {
      this.reply(stream, refusedReply(CallRefusalReason.unreadable, 0));
      return;
    }
    const { call, bodyBytes } = decoded;
    const heldBytes =
      CALL_COPIES * (head.length + body.length) + FIELD_OVERHEAD_BYTES * call.fields.length;
    const reservation = this.bufferBudget.reserve(HeldBody.request);
    if (!reservation.resize(heldBytes + bodyBytes)) {
      this.reply(stream, refusedReply(CallRefusalReason.full, NO_MEMORY_RETRY_AFTER_MS));
      return;
    }
    this.reservations.set(stream, reservation);
    if (bodyBytes === 0) this.track(stream, (deliver) => this.events.onCall(call, body, deliver));
    else this.awaitBody(stream, call, bodyBytes);
  }

  /** Receives the call once all parts of its body have arrived. */
  private awaitBody(stream: number, call: ForwardedCall, bodyBytes: number): void {
    const announcedAtMs = this.clock();
    this.incomingBodies.expect(stream, bodyBytes, (body) => {
      const elapsedMs = this.clock() - announcedAtMs;
      const remainingMs = call.remainingMs - elapsedMs;
      const usefulMs = call.usefulMs - elapsedMs;
      const received = { ...call, remainingMs, usefulMs };
      this.track(stream, (deliver) => this.events.onCall(received, body, deliver));
    });
  }

  /** True while a call of the stream is in progress, whose reply could be taken for another's. */
  private isInUse(stream: number): boolean {
    return this.calls.has(stream) || this.incomingBodies.isExpecting(stream);
  }

  private releaseBody(stream: number): void {
    this.incomingBodies.discard(stream);
    this.reservations.get(stream)?.release();
    this.reservations.delete(stream);
  }

  private handleResolve(frame: Frame): void {
    const attempt = decodeResolve(frame.head);
    // Without its id, the attempt cannot be barred; the entry gives up after a timeout.
    if (attempt === undefined) return;
    if (this.isInUse(frame.stream)) {
      this.socket.destroy();
      return;
    }
    this.track(frame.stream, (deliver) => this.events.onResolve(attempt, deliver));
  }

  /** Starts a call and keeps it until its reply, so that the entry can cancel it. */
  private track(
    stream: number,
    start: (deliver: (reply: CallReply) => void) => InboundCall | undefined,
  ): void {
    let isDone = false;
    const inboundCall = start((reply) => {
      isDone = true;
      this.calls.delete(stream);
      this.reply(stream, reply);
    });
    if (!isDone && inboundCall !== undefined) this.calls.set(stream, inboundCall);
  }

  /** Sends the reply, or without memory for its body the one that its outcome is not known. */
  private reply(stream: number, reply: CallReply): void {
    this.releaseBody(stream);
    const body = reply.outcome.kind === 'answered' ? reply.outcome.body : undefined;
    if (
      body === undefined ||
      body.length < MIN_BODY_BYTES_FOR_PARTS ||
      !this.peerAcceptsBodyParts
    ) {
      this.replyInOneFrame(stream, reply, body);
      return;
    }
    const reservation = this.bufferBudget.reserve(HeldBody.response);
    if (!reservation.resize(body.length)) {
      this.replyInOneFrame(stream, { ...reply, outcome: NO_MEMORY_OUTCOME }, undefined);
      return;
    }
    const head = encodeCallReply(reply, body.length);
    this.writer.write(encodeFrame(FrameKind.reply, stream, head));
    this.writer.writeBody(stream, body, () => reservation.release());
  }

  private replyInOneFrame(stream: number, reply: CallReply, body: Buffer | undefined): void {
    const frame = encodeFrame(FrameKind.reply, stream, encodeCallReply(reply), body);
    const isHeld = body === undefined || this.writer.hasMemoryFor(frame.length);
    const lost = { ...reply, outcome: NO_MEMORY_OUTCOME };
    this.writer.write(isHeld ? frame : encodeFrame(FrameKind.reply, stream, encodeCallReply(lost)));
  }

  private handleClose(): void {
    for (const call of this.calls.values()) call.connectionLost();
    this.calls.clear();
    this.incomingBodies.discardAll();
    for (const reservation of this.reservations.values()) reservation.release();
    this.reservations.clear();
    this.events.onClosed(this);
  }
}
