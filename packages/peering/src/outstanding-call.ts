import type { BodyReservation } from '@daisyferry/mesh/buffer-budget';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';

/** A call that waits for its reply, also across reconnects. */
export class OutstandingCall {
  private wasSent = false;

  /** Incarnation of the peer that the call was sent to. */
  sentToIncarnation: number | undefined;

  /** Time at which the connection broke, while the outcome of the call is unknown. */
  orphanedAtMs: number | undefined;

  /** Memory of a large reply that is arriving. */
  reservation: BodyReservation | undefined;

  constructor(
    readonly stream: number,
    readonly call: ForwardedCall,
    readonly frame: Buffer,
    /** Body that is sent in parts after the frame; undefined if the frame includes it. */
    readonly largeBody: Buffer | undefined,
    readonly deliver: (reply: CallReply) => void,
  ) {}

  get isSent(): boolean {
    return this.wasSent;
  }

  markSent(incarnation: number | undefined): void {
    this.wasSent = true;
    this.sentToIncarnation = incarnation;
  }

  markOrphaned(nowMs: number): void {
    this.orphanedAtMs ??= nowMs;
  }

  /** Called once the outcome is queried over a new connection. */
  clearOrphaned(): void {
    this.orphanedAtMs = undefined;
  }
}
