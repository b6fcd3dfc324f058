import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import type { Socket } from 'node:net';
import { decodeCall, encodeCallReply } from './call-codec';
import type { Frame, FrameKindNumber } from './frame';
import { encodeFrame, FrameKind, FrameReader } from './frame';
import { FrameWriter } from './frame-writer';
import type { Hello } from './hello';

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
  /** Called when an entry queries the outcome of a call whose connection broke. */
  onResolve(requestId: string, deliver: (reply: CallReply) => void): void;
  onControl(frame: Frame, peer: InboundPeer): void;
}

/** One connection that another daemon opened to this one by its `PeerLink`, to send its calls. */
export class InboundPeer {
  private readonly writer: FrameWriter;

  private readonly reader = new FrameReader();

  private readonly calls = new Map<number, InboundCall>();

  constructor(
    socket: Socket,
    private readonly events: PeerServerEvents,
  ) {
    this.writer = new FrameWriter(socket);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      if (!this.reader.push(chunk, (frame) => this.handleFrame(frame))) socket.destroy();
    });
    // 'close' always follows and handles the end of the connection.
    socket.on('error', () => undefined);
    socket.on('close', () => this.handleClose());
  }

  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void {
    this.writer.write(encodeFrame(kind, 0, head, body));
  }

  private handleFrame(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.call:
        this.handleCall(frame);
        return;
      case FrameKind.cancel:
        this.calls.get(frame.stream)?.cancel();
        this.calls.delete(frame.stream);
        return;
      case FrameKind.resolve: {
        const [requestId] = JSON.parse(frame.head) as [string];
        this.events.onResolve(requestId, (sendReply) => this.reply(frame.stream, sendReply));
        return;
      }
      case FrameKind.ping:
        this.writer.write(encodeFrame(FrameKind.pong, 0, ''));
        return;
      case FrameKind.hello:
        this.writer.write(encodeFrame(FrameKind.hello, 0, JSON.stringify(this.events.hello())));
        this.events.onHello(JSON.parse(frame.head) as Hello, this);
        return;
      default:
        this.events.onControl(frame, this);
    }
  }

  private handleCall(frame: Frame): void {
    let isDone = false;
    const inboundCall = this.events.onCall(decodeCall(frame.head), frame.body, (reply) => {
      isDone = true;
      this.calls.delete(frame.stream);
      this.reply(frame.stream, reply);
    });
    if (!isDone) this.calls.set(frame.stream, inboundCall);
  }

  private reply(stream: number, reply: CallReply): void {
    const body = reply.outcome.kind === 'answered' ? reply.outcome.body : undefined;
    this.writer.write(encodeFrame(FrameKind.reply, stream, encodeCallReply(reply), body));
  }

  private handleClose(): void {
    for (const call of this.calls.values()) call.connectionLost();
    this.calls.clear();
  }
}
