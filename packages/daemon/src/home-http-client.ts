import type { HomeCallHandler } from '@daisyferry/callpath/home-call-handler';
import type { HomeClient, PeerCall, SendResult } from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { Member } from '@daisyferry/model/member';
import { exchange } from './http-exchange';
import { decodeReply, encodePeerCall } from './peer-wire';
import type { PoolBook } from './pool-book';

/** The part of a home that calls of the same process use. */
export type OwnHome = Pick<HomeCallHandler, 'handle'>;

export interface HomeClientOptions {
  readonly selfName: string;
  readonly maxHeldBytes: number;
  /** Sockets that this daemon may open to a peer. */
  readonly connectionsTo: (member: Member) => number;
}

/** Sends calls to home daemons by HTTP, and the daemon's own without a socket. */
export class HomeHttpClient implements HomeClient {
  constructor(
    private readonly ownHome: OwnHome,
    private readonly pools: PoolBook,
    private readonly codec: TicketCodec,
    private readonly options: HomeClientOptions,
  ) {}

  async send(home: Member, call: PeerCall, cancellation: Cancellation): Promise<SendResult> {
    if (home.id.name === this.options.selfName) return this.sendToSelf(call, cancellation);
    const connections = this.options.connectionsTo(home);
    const pool = this.pools.poolFor(home.address, home.peerPort, connections, 'calls');
    const result = await exchange(
      pool,
      {
        httpMethod: call.content.httpMethod,
        path: call.content.path,
        headers: encodePeerCall(call, this.codec),
        body: call.content.body,
      },
      { maxHeldBytes: this.options.maxHeldBytes, holdUnknownLength: false },
      cancellation,
    );
    return decodeReply(result);
  }

  /**
   * A call that runs on after its caller's end (a money call) must not hold the caller's answer
   * back. A call withdrawn by the same cancellation answers first.
   */
  private async sendToSelf(call: PeerCall, cancellation: Cancellation): Promise<SendResult> {
    return new Promise((resolve) => {
      const stopListening = cancellation.onCancel(() => {
        setImmediate(() => resolve({ kind: 'lost' }));
      });
      const answered = this.ownHome.handle(call, cancellation).finally(stopListening);
      answered.then(resolve, (error: unknown) => {
        process.emitWarning(`own home failed: ${String(error)}`);
        resolve({ kind: 'lost' });
      });
    });
  }
}
