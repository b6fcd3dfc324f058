import type { BodyReservation } from '@daisyferry/mesh/buffer-budget';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import type { Hello } from './hello';

/** A call that waits for its reply, also across reconnects. */
export class OutstandingCall {
  private sentToPeer: Hello | undefined;

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

  /** Hello of the peer that the call was sent to; undefined until it is sent. */
  get sentTo(): Hello | undefined {
    return this.sentToPeer;
  }

  markSent(hello: Hello): void {
    this.sentToPeer = hello;
  }

  markOrphaned(nowMs: number): void {
    this.orphanedAtMs ??= nowMs;
  }

  /** Called once the outcome is queried over a new connection. */
  clearOrphaned(): void {
    this.orphanedAtMs = undefined;
  }
}
