import type { EntryResponse, EntryRequest } from '@daisyferry/callpath/entry-call';
import type { RootForwarder } from '@daisyferry/callpath/root-forwarder';
import { Header, PeerHeader } from '@daisyferry/model/headers';
import type { Member } from '@daisyferry/model/member';
import { exchange } from './http-exchange';
import { decodeReply, rawHeaderValue } from './peer-codec';
import type { ConnectionPools } from './connection-pools';

/** Connections to one daemon for requests that callers sent to another daemon. */
const CONNECTIONS_PER_DAEMON = 8;

/** Forwards callers' requests to the daemon named by their ticket, over its peer listener. */
export class HttpRootForwarder implements RootForwarder {
  constructor(
    private readonly pools: ConnectionPools,
    private readonly maxBufferedBytes: number,
  ) {}

  async forward(home: Member, request: EntryRequest): Promise<EntryResponse | undefined> {
    const { content, requestedBudgetMs, ticketText = '' } = request;
    const response = await exchange(
      this.pools.poolFor(home.address, home.peerPort, CONNECTIONS_PER_DAEMON, 'forwarded'),
      {
        httpMethod: content.httpMethod,
        path: content.path,
        headers: [
          ...content.headers,
          [PeerHeader.forwarded, '1'],
          [Header.service, request.service],
          [Header.ticket, ticketText],
          ...(requestedBudgetMs === undefined
            ? []
            : [[Header.deadlineMs, String(requestedBudgetMs)] as const]),
        ],
        body: content.body,
      },
      { maxBufferedBytes: this.maxBufferedBytes, bufferUnknownLength: false },
      request.cancellation,
    );
    const reply = decodeReply(response);
    if (reply.kind !== 'replied' || response.kind !== 'response') return undefined;
    return {
      result: reply.result,
      rootId: rawHeaderValue(response.rawHeaders, Header.root) ?? '',
      className: rawHeaderValue(response.rawHeaders, Header.class),
      ticket: rawHeaderValue(response.rawHeaders, Header.ticket),
    };
  }
}
