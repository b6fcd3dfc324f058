import type { HomeCallHandler } from '@daisyferry/callpath/home-call-handler';
import type { HomeClient, PeerCall, SendResult } from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { Member } from '@daisyferry/model/member';
import { exchange } from './http-exchange';
import { decodeReply, encodePeerCall } from './peer-codec';
import type { ConnectionPools } from './connection-pools';

/** Interface of a home for calls within the same process. */
export type OwnHome = Pick<HomeCallHandler, 'handle'>;

export interface HomeClientOptions {
  readonly selfName: string;
  readonly maxBufferedBytes: number;
  /** Maximum number of connections from this daemon to a peer. */
  readonly connectionsTo: (member: Member) => number;
}

/** Sends calls to home daemons over HTTP; calls to the own home stay within the process. */
export class HomeHttpClient implements HomeClient {
  constructor(
    private readonly ownHome: OwnHome,
    private readonly pools: ConnectionPools,
    private readonly codec: TicketCodec,
    private readonly options: HomeClientOptions,
  ) {}

  async send(home: Member, call: PeerCall, cancellation: Cancellation): Promise<SendResult> {
    if (home.id.name === this.options.selfName) return this.sendToOwnHome(call, cancellation);
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
      { maxBufferedBytes: this.options.maxBufferedBytes, bufferUnknownLength: false },
      cancellation,
    );
    return decodeReply(result);
  }

  /**
   * A call that keeps running after its cancellation, such as one with a ticket, must not delay the
   * response to its caller, so cancellation resolves as `lost`. It does so with a delay, because a
   * call that the home withdraws on the same cancellation must reply first.
   */
  private async sendToOwnHome(call: PeerCall, cancellation: Cancellation): Promise<SendResult> {
    return new Promise((resolve) => {
      const removeCancelListener = cancellation.onCancel(() => {
        setImmediate(() => resolve({ kind: 'lost' }));
      });
      const reply = this.ownHome.handle(call, cancellation).finally(removeCancelListener);
      reply.then(resolve, (error: unknown) => {
        process.emitWarning(`call to the own home failed: ${String(error)}`);
        resolve({ kind: 'lost' });
      });
    });
  }
}
