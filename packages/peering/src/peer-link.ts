import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import { HeldBody, type BodyReservation, type BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { createConnection, type Socket } from 'node:net';
import { decodeCallReply, encodeCall } from './call-codec';
import { notSentReply, refusedReply, unknownReply } from './call-replies';
import { decodeHello, encodeResolve } from './control-codec';
import type { Frame, FrameKindNumber } from './frame';
import { encodeFrame, FrameKind, FrameReader, isAnsweredKind } from './frame';
import { FrameWriter, MIN_BODY_BYTES_FOR_PARTS } from './frame-writer';
import { isSameProcess, type Hello } from './hello';
import { IncomingBodies } from './incoming-bodies';
import { Liveness, LivenessProbe } from './liveness-probe';
import { OutstandingCall } from './outstanding-call';

/** Timeout for connecting: several round trips within a region. */
const CONNECT_TIMEOUT_MS = 600;
/** Minimum and maximum backoff before a reconnect. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_500;
/** Time after the loss of a connection within which the outcome of its calls must be queried. */
const RESOLVE_TIMEOUT_MS = 2_000;

/** Retry-after of a call that is not sent, as there is no memory for it. */
const NO_MEMORY_RETRY_AFTER_MS = 500;

const EMPTY = Buffer.alloc(0);
const DROPPED = {
  kind: 'unknown',
  detail: 'no memory for the response',
  isResponseDropped: true,
} as const;

/** Why a link ended, where the other side has not told; other texts describe an error. */
export const LinkEndReason = {
  closed: 'closed',
  addressChanged: 'address changed',
  connectTimedOut: 'connection attempt timed out',
  probeTimedOut: 'probe timed out',
  failed: 'internal error',
} as const;

export interface PeerAddress {
  readonly ip: string;
  readonly port: number;
}

export interface PeerLinkEvents {
  hello(): Hello;
  onHello(hello: Hello): void;
  /** Called for each frame that belongs to no call. */
  onControl(frame: Frame): void;
  onUp(): void;
  onDown(reason: string, wasUnresponsive: boolean): void;
  /** Called when handling a frame of this kind threw an error; the connection is then closed. */
  onFailure(error: unknown, frameKind: number): void;
}

export interface CancellableCall {
  /** Cancels the call; its reply is not delivered. */
  cancel(): void;
}

type LinkState = 'down' | 'connecting' | 'handshaking' | 'up';

/**
 * The link to one other daemon, over which this one sends its calls. It lasts while the daemon is
 * known: it uses one connection at a time and opens a new one when that breaks. The other daemon
 * accepts each of them as an `InboundPeer`.
 */
export class PeerLink {
  private state: LinkState = 'down';

  private socket: Socket | undefined;

  private writer: FrameWriter | undefined;

  private readonly calls = new Map<number, OutstandingCall>();

  private nextStream = 1;

  /** The last hello of the peer. */
  private peerHello: Hello | undefined;

  private readonly incomingBodies = new IncomingBodies((bytes) =>
    this.writer?.write(encodeFrame(FrameKind.bodyCredit, bytes, '')),
  );

  private readonly dropped: BodyReservation;

  private lastCallAtMs: number;

  private liveness: LivenessProbe;

  private stateSinceMs = 0;

  private backoffMs = MIN_BACKOFF_MS;

  private isClosed = false;

  constructor(
    private readonly daemonId: string,
    private address: PeerAddress,
    private readonly events: PeerLinkEvents,
    private readonly clock: () => number,
    private readonly bufferBudget: BufferBudget,
  ) {
    this.dropped = bufferBudget.reserve(HeldBody.response);
    this.lastCallAtMs = clock();
    this.liveness = new LivenessProbe(clock());
  }

  get isUp(): boolean {
    return this.state === 'up';
  }

  get outstandingCount(): number {
    return this.calls.size;
  }

  /** Time since the last call was sent or, before the first, since the link was created. */
  idleMs(nowMs: number): number {
    return this.calls.size > 0 ? 0 : nowMs - this.lastCallAtMs;
  }

  /** Notes that the link is in use without a call. */
  markUsed(): void {
    this.lastCallAtMs = this.clock();
  }

  setAddress(address: PeerAddress): void {
    if (address.ip === this.address.ip && address.port === this.address.port) return;
    this.address = address;
    this.breakConnection(LinkEndReason.addressChanged, false);
  }

  connect(): void {
    if (this.state === 'down' && !this.isClosed) this.open(this.clock());
  }

  call(call: ForwardedCall, body: Buffer, deliver: (reply: CallReply) => void): CancellableCall {
    if (this.isClosed) {
      deliver(notSentReply());
      return { cancel: () => undefined };
    }
    this.lastCallAtMs = this.clock();
    // Stream numbers are unsigned 32-bit integers in a frame, so that they start over before 2^32.
    const stream = this.nextStream;
    this.nextStream = (this.nextStream % 0xffff_fff0) + 1;
    const outstanding = this.toOutstandingCall(stream, call, body, deliver);
    this.calls.set(stream, outstanding);
    const { peerHello } = this;
    if (this.isUp && peerHello !== undefined) this.send(outstanding, peerHello);
    else this.connect();
    return { cancel: () => this.cancel(outstanding) };
  }

  /**
   * A large body is kept apart from the call's frame. Before the first hello of the peer, which
   * tells whether it accepts parts, the body is in the frame.
   */
  private toOutstandingCall(
    stream: number,
    call: ForwardedCall,
    body: Buffer,
    deliver: (reply: CallReply) => void,
  ): OutstandingCall {
    const isLarge =
      this.peerHello?.acceptsBodyParts === true && body.length >= MIN_BODY_BYTES_FOR_PARTS;
    const frame = isLarge
      ? encodeFrame(FrameKind.call, stream, encodeCall(call, body.length))
      : encodeFrame(FrameKind.call, stream, encodeCall(call), body);
    return new OutstandingCall(stream, call, frame, isLarge ? body : undefined, deliver);
  }

  /** Sends a frame that belongs to no call, if the connection is up. */
  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void {
    if (this.state !== 'up') return;
    if (isAnsweredKind(kind)) this.liveness.expectAnswer();
    this.writer?.write(encodeFrame(kind, 0, head, body));
  }

  /** Checks timeouts and reconnects; called several times a second. */
  checkTimeouts(nowMs: number): void {
    if (this.isClosed) return;
    this.writer?.countUnsent();
    if (this.state === 'down') {
      this.reconnectIfDue(nowMs);
    } else if (this.state === 'up') {
      this.checkLiveness(nowMs);
    } else if (nowMs - this.stateSinceMs > CONNECT_TIMEOUT_MS) {
      // A lost machine does not respond either, so that this tells nothing of other connections.
      this.breakConnection(LinkEndReason.connectTimedOut, false);
    }
    this.expireOrphans(nowMs);
  }

  /** Closes the link for good; the calls that wait get their outcome now. */
  close(): void {
    this.isClosed = true;
    this.breakConnection(LinkEndReason.closed, false);
    // A link that was down may have calls whose outcome was to be queried.
    const nowMs = this.clock();
    for (const outstanding of [...this.calls.values()]) this.orphan(outstanding, nowMs);
  }

  private reconnectIfDue(nowMs: number): void {
    if (nowMs - this.stateSinceMs >= this.backoffMs) this.open(nowMs);
  }

  private checkLiveness(nowMs: number): void {
    const liveness = this.liveness.check(this.calls.size > 0, nowMs);
    if (liveness === Liveness.lost) this.breakConnection(LinkEndReason.probeTimedOut, true);
    if (liveness === Liveness.doubtful) this.writer?.write(encodeFrame(FrameKind.ping, 0, ''));
  }

  private open(nowMs: number): void {
    this.setState('connecting', nowMs);
    const socket = createConnection({ host: this.address.ip, port: this.address.port });
    const reader = new FrameReader();
    socket.setNoDelay(true);
    this.socket = socket;
    this.writer = new FrameWriter(socket, this.bufferBudget.reserve(HeldBody.request));
    socket.on('connect', () => {
      if (this.socket !== socket) return;
      this.setState('handshaking', this.clock());
      socket.write(encodeFrame(FrameKind.hello, 0, JSON.stringify(this.events.hello())));
    });
    socket.on('data', (chunk: Buffer) => {
      if (this.socket !== socket) return;
      this.liveness.recordReceived(this.clock());
      if (!reader.push(chunk, (frame) => this.receiveFrame(frame, socket))) {
        this.handleSocketEnd(socket, 'malformed frame');
      }
    });
    socket.on('error', (error) => this.handleSocketEnd(socket, error.message));
    socket.on('close', () => this.handleSocketEnd(socket, 'closed by peer'));
  }

  private handleSocketEnd(socket: Socket, reason: string): void {
    if (this.socket === socket) this.breakConnection(reason, false);
  }

  private receiveFrame(frame: Frame, socket: Socket): void {
    try {
      this.handleFrame(frame, socket);
    } catch (error) {
      this.events.onFailure(error, frame.kind);
      this.handleSocketEnd(socket, LinkEndReason.failed);
    }
  }

  private handleFrame(frame: Frame, socket: Socket): void {
    // A frame that follows the one for which the connection was closed.
    if (this.socket !== socket) return;
    switch (frame.kind) {
      case FrameKind.hello:
        this.handleHello(decodeHello(frame.head));
        return;
      case FrameKind.reply:
        this.handleReply(frame);
        return;
      case FrameKind.bodyCredit:
        this.writer?.addBodyCredit(frame.stream);
        return;
      case FrameKind.bodyPart:
        // The parts of a body that was dropped take memory until it is collected.
        if (!this.incomingBodies.isExpecting(frame.stream))
          this.dropped.recordCopy(frame.body.length);
        if (!this.incomingBodies.append(frame.stream, frame.body))
          this.breakConnection('body longer than announced', false);
        return;
      case FrameKind.ping:
        this.writer?.write(encodeFrame(FrameKind.pong, 0, ''));
        return;
      case FrameKind.pong:
        return;
      default:
        this.events.onControl(frame);
    }
  }

  private handleHello(hello: Hello | undefined): void {
    if (hello === undefined) {
      this.breakConnection('unreadable hello', false);
      return;
    }
    const { daemonId } = hello.record;
    if (daemonId !== this.daemonId) {
      // Addresses of daemons that are gone are used again.
      this.breakConnection(`daemon ${daemonId} responds at the address`, false);
      return;
    }
    if (this.isUp) {
      this.breakConnection('second hello', false);
      return;
    }
    this.peerHello = hello;
    this.backoffMs = MIN_BACKOFF_MS;
    this.setState('up', this.clock());
    this.events.onHello(hello);
    // The record in the hello may have another address, for which the connection was closed.
    if (!this.isUp) return;
    this.events.onUp();
    for (const outstanding of [...this.calls.values()]) this.resume(outstanding, hello);
  }

  /** Sends a call that waited for the connection, or queries the outcome of one already sent. */
  private resume(outstanding: OutstandingCall, hello: Hello): void {
    const { sentTo } = outstanding;
    if (sentTo === undefined) {
      // A build that accepts no parts would run the call with an empty body.
      if (outstanding.largeBody !== undefined && !hello.acceptsBodyParts)
        this.settle(outstanding, notSentReply());
      else this.send(outstanding, hello);
    } else if (!isSameProcess(sentTo, hello)) {
      this.settle(outstanding, unknownReply('the home daemon restarted'));
    } else {
      outstanding.clearOrphaned();
      const { stream, call } = outstanding;
      this.writer?.write(encodeFrame(FrameKind.resolve, stream, encodeResolve(call)));
    }
  }

  private send(outstanding: OutstandingCall, hello: Hello): void {
    if (this.writer?.hasMemoryFor(outstanding.frame.length) === false) {
      this.settle(outstanding, refusedReply(CallRefusalReason.full, NO_MEMORY_RETRY_AFTER_MS));
      return;
    }
    outstanding.markSent(hello);
    const { stream, frame, largeBody } = outstanding;
    this.writer?.write(frame);
    if (largeBody !== undefined) this.writer?.writeBody(stream, largeBody);
  }

  private handleReply(frame: Frame): void {
    // No call is sent and no outcome queried before the hello.
    if (this.state !== 'up') return;
    const outstanding = this.calls.get(frame.stream);
    if (outstanding === undefined) return;
    if (this.incomingBodies.isExpecting(frame.stream)) {
      this.breakConnection('second reply to a call', false);
      return;
    }
    const { bodyBytes, withBody } = decodeCallReply(frame.head);
    if (bodyBytes === 0) {
      this.settle(outstanding, withBody(frame.body));
      return;
    }
    const reservation = this.bufferBudget.reserve(HeldBody.response);
    if (!reservation.resize(bodyBytes)) {
      // The home need not send the rest of the body.
      this.writer?.write(encodeFrame(FrameKind.cancel, frame.stream, ''));
      const { outcome, ...rest } = withBody(EMPTY);
      this.settle(outstanding, {
        ...rest,
        outcome: outcome.kind === 'answered' ? DROPPED : outcome,
      });
      return;
    }
    outstanding.reservation = reservation;
    this.incomingBodies.expect(frame.stream, bodyBytes, (body) =>
      this.settle(outstanding, withBody(body)),
    );
  }

  private settle(outstanding: OutstandingCall, reply: CallReply): void {
    if (!this.calls.delete(outstanding.stream)) return;
    this.releaseBodies(outstanding);
    outstanding.deliver(reply);
  }

  /** Stops sending and receiving the bodies of a call that has ended. */
  private releaseBodies(outstanding: OutstandingCall): void {
    if (outstanding.largeBody !== undefined) this.writer?.cancelBody(outstanding.stream);
    outstanding.reservation?.release();
    this.incomingBodies.discard(outstanding.stream);
  }

  private cancel(outstanding: OutstandingCall): void {
    if (!this.calls.delete(outstanding.stream)) return;
    this.releaseBodies(outstanding);
    if (outstanding.sentTo === undefined) return;
    if (this.state === 'up') {
      this.writer?.write(encodeFrame(FrameKind.cancel, outstanding.stream, ''));
    }
  }

  private breakConnection(reason: string, wasUnresponsive: boolean): void {
    const { socket, state } = this;
    if (state === 'down') return;
    this.socket = undefined;
    this.writer = undefined;
    socket?.destroy();
    const nowMs = this.clock();
    this.setState('down', nowMs);
    if (state !== 'up') this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    this.events.onDown(reason, wasUnresponsive);
    this.incomingBodies.discardAll();
    for (const outstanding of [...this.calls.values()]) this.orphan(outstanding, nowMs);
  }

  private orphan(outstanding: OutstandingCall, nowMs: number): void {
    outstanding.reservation?.release();
    if (outstanding.sentTo === undefined) {
      this.settle(outstanding, notSentReply());
    } else if (outstanding.call.isIdempotent || this.isClosed) {
      this.settle(outstanding, unknownReply('connection to the home daemon broke'));
    } else {
      outstanding.markOrphaned(nowMs);
    }
  }

  private expireOrphans(nowMs: number): void {
    for (const outstanding of this.calls.values()) {
      const sinceMs = outstanding.orphanedAtMs;
      if (sinceMs !== undefined && nowMs - sinceMs > RESOLVE_TIMEOUT_MS) {
        this.settle(
          outstanding,
          unknownReply('the home daemon could not be reached to query the outcome'),
        );
      }
    }
  }

  private setState(state: LinkState, nowMs: number): void {
    this.state = state;
    this.stateSinceMs = nowMs;
    this.liveness = new LivenessProbe(nowMs);
  }
}
