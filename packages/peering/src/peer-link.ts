import type { CallReply, MeshCall } from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import { createConnection, type Socket } from 'node:net';
import { decodeReply, encodeCall } from './call-codec';
import type { Frame, FrameKindNumber } from './frame';
import { encodeFrame, FrameKind, FrameReader } from './frame';
import { FrameWriter } from './frame-writer';
import type { Hello } from './hello';
import { OutstandingCall } from './outstanding-call';

/** Time for a connection to be made, in ms: several round trips within a region. */
const CONNECT_TIMEOUT_MS = 600;
/** A peer that owes an answer is asked for a sign of life after this silence, in ms. */
const BUSY_PROBE_MS = 300;
/** The same for a connection without calls. */
const IDLE_PROBE_MS = 2_000;
/** Silence after a probe that makes a connection count as broken, in ms. */
const PROBE_TIMEOUT_MS = 700;
/** Shortest and longest pause before a broken connection is made again, in ms. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;
/** Time for which the fate of a call is asked for after its connection broke, in ms. */
const RESOLVE_LIMIT_MS = 2_000;

export interface PeerAddress {
  readonly ip: string;
  readonly port: number;
}

export interface PeerLinkEvents {
  hello(): Hello;
  onHello(hello: Hello): void;
  /** Frames that belong to no call. */
  onControl(frame: Frame): void;
  onUp(): void;
  onDown(reason: string, wasSilent: boolean): void;
}

export interface SentCall {
  /** The caller no longer waits; the reply is not delivered. */
  cancel(): void;
}

type LinkState = 'down' | 'connecting' | 'greeting' | 'up';

function unknown(detail: string): CallReply {
  return { outcome: { kind: 'unknown', detail }, load: undefined };
}

function notSent(): CallReply {
  const reason = RefusalReason.unreachable;
  return {
    outcome: { kind: 'refused', reason, reachedTarget: false, roomInMs: 0 },
    load: undefined,
  };
}

/** The connection over which this daemon sends calls to one other daemon. */
export class PeerLink {
  private state: LinkState = 'down';

  private socket: Socket | undefined;

  private writer: FrameWriter | undefined;

  private readonly calls = new Map<number, OutstandingCall>();

  private nextStream = 1;

  private incarnation: number | undefined;

  private heardAtMs = 0;

  private probedAtMs: number | undefined;

  private stateSinceMs = 0;

  private pauseMs = MIN_PAUSE_MS;

  private isClosed = false;

  constructor(
    private address: PeerAddress,
    private readonly events: PeerLinkEvents,
    private readonly clock: () => number,
  ) {}

  get isUp(): boolean {
    return this.state === 'up';
  }

  get outstanding(): number {
    return this.calls.size;
  }

  setAddress(address: PeerAddress): void {
    if (address.ip === this.address.ip && address.port === this.address.port) return;
    this.address = address;
    this.breakConnection('address changed', false);
  }

  connect(): void {
    if (this.state === 'down' && !this.isClosed) this.open(this.clock());
  }

  call(call: MeshCall, body: Buffer, deliver: (reply: CallReply) => void): SentCall {
    const stream = this.nextStream;
    this.nextStream = (this.nextStream % 0xffff_fff0) + 1;
    const frame = encodeFrame(FrameKind.call, stream, encodeCall(call), body);
    const outstanding = new OutstandingCall(stream, call, frame, deliver);
    this.calls.set(stream, outstanding);
    if (this.state === 'up') this.send(outstanding);
    else this.connect();
    return { cancel: () => this.cancel(outstanding) };
  }

  /** Sends a frame that belongs to no call, if the connection is up. */
  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void {
    if (this.state === 'up') this.writer?.write(encodeFrame(kind, 0, head, body));
  }

  /** Checks time-outs and reconnects; called several times a second. */
  tick(nowMs: number): void {
    if (this.isClosed) return;
    if (this.state === 'down') {
      this.tickDown(nowMs);
    } else if (this.state === 'up') {
      this.tickUp(nowMs);
    } else if (nowMs - this.stateSinceMs > CONNECT_TIMEOUT_MS) {
      this.breakConnection('connection attempt timed out', true);
    }
    this.dropOrphans(nowMs);
  }

  close(): void {
    this.isClosed = true;
    this.breakConnection('closed', false);
  }

  private tickDown(nowMs: number): void {
    if (nowMs - this.stateSinceMs >= this.pauseMs) this.open(nowMs);
  }

  private tickUp(nowMs: number): void {
    const silentMs = nowMs - this.heardAtMs;
    if (this.probedAtMs !== undefined) {
      if (this.heardAtMs >= this.probedAtMs) this.probedAtMs = undefined;
      else if (nowMs - this.probedAtMs > PROBE_TIMEOUT_MS) {
        this.breakConnection('no sign of life', true);
      }
      return;
    }
    const limitMs = this.calls.size > 0 ? BUSY_PROBE_MS : IDLE_PROBE_MS;
    if (silentMs < limitMs) return;
    this.probedAtMs = nowMs;
    this.writer?.write(encodeFrame(FrameKind.ping, 0, ''));
  }

  private open(nowMs: number): void {
    this.setState('connecting', nowMs);
    const socket = createConnection({ host: this.address.ip, port: this.address.port });
    const reader = new FrameReader();
    socket.setNoDelay(true);
    this.socket = socket;
    this.writer = new FrameWriter(socket);
    socket.on('connect', () => {
      if (this.socket !== socket) return;
      this.setState('greeting', this.clock());
      socket.write(encodeFrame(FrameKind.hello, 0, JSON.stringify(this.events.hello())));
    });
    socket.on('data', (chunk: Buffer) => {
      if (this.socket !== socket) return;
      this.heardAtMs = this.clock();
      if (!reader.push(chunk, (frame) => this.receive(frame))) {
        this.breakConnection('bytes that are no frames', false);
      }
    });
    socket.on('error', (error) => this.socketEnded(socket, error.message));
    socket.on('close', () => this.socketEnded(socket, 'closed by peer'));
  }

  private socketEnded(socket: Socket, reason: string): void {
    if (this.socket === socket) this.breakConnection(reason, false);
  }

  private receive(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.hello:
        this.greeted(JSON.parse(frame.head) as Hello);
        return;
      case FrameKind.reply:
        this.replied(frame);
        return;
      case FrameKind.pong:
        return;
      default:
        this.events.onControl(frame);
    }
  }

  private greeted(hello: Hello): void {
    this.incarnation = hello.record.incarnation;
    this.pauseMs = MIN_PAUSE_MS;
    this.probedAtMs = undefined;
    this.setState('up', this.clock());
    this.events.onHello(hello);
    this.events.onUp();
    for (const outstanding of [...this.calls.values()]) this.resume(outstanding);
  }

  /** Sends a call that waited for the connection, or asks what became of one that was sent. */
  private resume(outstanding: OutstandingCall): void {
    if (!outstanding.isSent) {
      this.send(outstanding);
    } else if (outstanding.sentTo !== this.incarnation) {
      this.settle(outstanding, unknown('the home was restarted'));
    } else {
      outstanding.adopted();
      const { stream, call } = outstanding;
      const head = JSON.stringify([call.requestId]);
      this.writer?.write(encodeFrame(FrameKind.resolve, stream, head));
    }
  }

  private send(outstanding: OutstandingCall): void {
    outstanding.sent(this.incarnation);
    this.writer?.write(outstanding.frame);
  }

  private replied(frame: Frame): void {
    const outstanding = this.calls.get(frame.stream);
    if (outstanding !== undefined) this.settle(outstanding, decodeReply(frame.head, frame.body));
  }

  private settle(outstanding: OutstandingCall, reply: CallReply): void {
    if (this.calls.delete(outstanding.stream)) outstanding.deliver(reply);
  }

  private cancel(outstanding: OutstandingCall): void {
    if (!this.calls.delete(outstanding.stream) || !outstanding.isSent) return;
    if (this.state === 'up') {
      this.writer?.write(encodeFrame(FrameKind.cancel, outstanding.stream, ''));
    }
  }

  private breakConnection(reason: string, wasSilent: boolean): void {
    const { socket, state } = this;
    if (state === 'down') return;
    this.socket = undefined;
    this.writer = undefined;
    socket?.destroy();
    const nowMs = this.clock();
    this.setState('down', nowMs);
    if (state !== 'up') this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
    this.events.onDown(reason, wasSilent);
    for (const outstanding of [...this.calls.values()]) this.orphan(outstanding, nowMs);
  }

  private orphan(outstanding: OutstandingCall, nowMs: number): void {
    if (!outstanding.isSent) {
      this.settle(outstanding, notSent());
    } else if (outstanding.call.isIdempotent || this.isClosed) {
      this.settle(outstanding, unknown('connection to the home broke'));
    } else {
      outstanding.orphaned(nowMs);
    }
  }

  private dropOrphans(nowMs: number): void {
    for (const outstanding of this.calls.values()) {
      const sinceMs = outstanding.orphanedAtMs;
      if (sinceMs !== undefined && nowMs - sinceMs > RESOLVE_LIMIT_MS) {
        this.settle(outstanding, unknown('the home could not be asked'));
      }
    }
  }

  private setState(state: LinkState, nowMs: number): void {
    this.state = state;
    this.stateSinceMs = nowMs;
    this.heardAtMs = nowMs;
    this.probedAtMs = undefined;
  }
}
