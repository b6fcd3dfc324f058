import type { CallReply, MeshCall } from '@daisyferry/mesh/call';
import type { Socket } from 'node:net';
import { decodeCall, encodeReply } from './call-codec';
import type { Frame, FrameKindNumber } from './frame';
import { encodeFrame, FrameKind, FrameReader } from './frame';
import { FrameWriter } from './frame-writer';
import type { Hello } from './hello';

/** A call that the home works on for another daemon. */
export interface HandledCall {
  /** The caller no longer waits. */
  cancel(): void;
  /** The connection broke; the entry may come back and ask. */
  connectionLost(): void;
}

export interface PeerServerEvents {
  hello(): Hello;
  onHello(hello: Hello, peer: InboundPeer): void;
  onCall(call: MeshCall, body: Buffer, deliver: (reply: CallReply) => void): HandledCall;
  /** The caller's connection broke and it asks what became of the call. */
  onResolve(requestId: string, deliver: (reply: CallReply) => void): void;
  onControl(frame: Frame, peer: InboundPeer): void;
}

/** One connection that another daemon opened to this one. */
export class InboundPeer {
  private readonly writer: FrameWriter;

  private readonly reader = new FrameReader();

  private readonly calls = new Map<number, HandledCall>();

  constructor(
    socket: Socket,
    private readonly events: PeerServerEvents,
  ) {
    this.writer = new FrameWriter(socket);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      if (!this.reader.push(chunk, (frame) => this.receive(frame))) socket.destroy();
    });
    // The end of the connection is handled by 'close', which always follows.
    socket.on('error', () => undefined);
    socket.on('close', () => this.closed());
  }

  sendControl(kind: FrameKindNumber, head: string, body?: Buffer): void {
    this.writer.write(encodeFrame(kind, 0, head, body));
  }

  private receive(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.call:
        this.receiveCall(frame);
        return;
      case FrameKind.cancel:
        this.calls.get(frame.stream)?.cancel();
        this.calls.delete(frame.stream);
        return;
      case FrameKind.resolve: {
        const [requestId] = JSON.parse(frame.head) as [string];
        this.events.onResolve(requestId, (reply) => this.reply(frame.stream, reply));
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

  private receiveCall(frame: Frame): void {
    let isDone = false;
    const sent = this.events.onCall(decodeCall(frame.head), frame.body, (reply) => {
      isDone = true;
      this.calls.delete(frame.stream);
      this.reply(frame.stream, reply);
    });
    if (!isDone) this.calls.set(frame.stream, sent);
  }

  private reply(stream: number, reply: CallReply): void {
    const body = reply.outcome.kind === 'answered' ? reply.outcome.body : undefined;
    this.writer.write(encodeFrame(FrameKind.reply, stream, encodeReply(reply), body));
  }

  private closed(): void {
    for (const call of this.calls.values()) call.connectionLost();
    this.calls.clear();
  }
}
