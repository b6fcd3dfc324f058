import type { CallReply, MeshCall } from '@daisyferry/mesh/call';

/** A call that waits for its reply over one connection or its successors. */
export class OutstandingCall {
  private wasSent = false;

  /** Life of the peer that the call was sent to. */
  sentTo: number | undefined;

  /** Time at which the connection broke, while it is not known what became of the call. */
  orphanedAtMs: number | undefined;

  constructor(
    readonly stream: number,
    readonly call: MeshCall,
    readonly frame: Buffer,
    readonly deliver: (reply: CallReply) => void,
  ) {}

  get isSent(): boolean {
    return this.wasSent;
  }

  sent(incarnation: number | undefined): void {
    this.wasSent = true;
    this.sentTo = incarnation;
  }

  orphaned(nowMs: number): void {
    this.orphanedAtMs ??= nowMs;
  }

  /** The peer is connected again and is asked. */
  adopted(): void {
    this.orphanedAtMs = undefined;
  }
}
