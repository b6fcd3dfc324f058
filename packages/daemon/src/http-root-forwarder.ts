import type { EntryResponse, EntryRequest } from '@daisyferry/callpath/entry-call';
import type { RootForwarder } from '@daisyferry/callpath/root-forwarder';
import { Header, PeerHeader } from '@daisyferry/model/headers';
import type { Member } from '@daisyferry/model/member';
import { exchange } from './http-exchange';
import { decodeReply, rawValue } from './peer-wire';
import type { PoolBook } from './pool-book';

/** Connections to one daemon for requests of callers that reached the wrong one. */
const CONNECTIONS = 8;

/** Passes callers' requests on to the daemon that their ticket names, over its peer listener. */
export class HttpRootForwarder implements RootForwarder {
  constructor(
    private readonly pools: PoolBook,
    private readonly maxHeldBytes: number,
  ) {}

  async forward(home: Member, request: EntryRequest): Promise<EntryResponse | undefined> {
    const { content, requestedBudgetMs: requestedMs, ticketText = '' } = request;
    const answer = await exchange(
      this.pools.poolFor(home.address, home.peerPort, CONNECTIONS, 'forwarded'),
      {
        httpMethod: content.httpMethod,
        path: content.path,
        headers: [
          ...content.headers,
          [PeerHeader.forwarded, '1'],
          [Header.service, request.service],
          [Header.ticket, ticketText],
          ...(requestedMs === undefined ? [] : [[Header.deadlineMs, String(requestedMs)] as const]),
        ],
        body: content.body,
      },
      { maxHeldBytes: this.maxHeldBytes, holdUnknownLength: false },
      request.cancellation,
    );
    const reply = decodeReply(answer);
    if (reply.kind !== 'replied' || answer.kind !== 'answer') return undefined;
    return {
      result: reply.result,
      rootId: rawValue(answer.rawHeaders, Header.root) ?? '',
      className: rawValue(answer.rawHeaders, Header.class),
      ticket: rawValue(answer.rawHeaders, Header.ticket),
    };
  }
}
