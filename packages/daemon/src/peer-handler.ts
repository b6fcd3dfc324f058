import { refusal } from '@daisyferry/callpath/results';
import type { HomeReply } from '@daisyferry/callpath/call-message';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import { RefusalReason } from '@daisyferry/model/outcome';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { writeResponse } from './response-writer';
import type { BodyLimits } from './body-reader';
import { EMPTY_BODY, readBody } from './body-reader';
import type { OwnHome } from './home-http-client';
import { forwardedHeaders } from './forwarded-headers';
import { decodePeerCall, encodeReply } from './peer-codec';
import { cancelOnDisconnect } from './cancel-on-disconnect';

function writeReply(response: ServerResponse, reply: HomeReply): void {
  const { statusCode, headers } = encodeReply(reply);
  const { result } = reply;
  const body = 'body' in result ? result.body : EMPTY_BODY;
  writeResponse(response, statusCode, headers, body);
}

function malformedReply(): HomeReply {
  return {
    kind: 'replied',
    result: refusal(RefusalReason.badRequest, 0),
    signals: { tokensReturned: 0, threshold: CALL_CLASS_COUNT, load: 0 },
  };
}

/** Converts HTTP requests of other daemons into calls to the home. */
export class PeerHandler {
  constructor(
    private readonly home: OwnHome,
    private readonly codec: TicketCodec,
    private readonly limits: BodyLimits,
    private readonly onMalformed: (header: string) => void,
    /** Longest time that a request read now may have waited in its socket, in ms. */
    private readonly unreadMs: () => number,
  ) {}

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const cancellation = cancelOnDisconnect(response);
    const unreadMs = this.unreadMs();
    const decoded = decodePeerCall(request.headers, this.codec);
    if (!decoded.ok) {
      this.onMalformed(decoded.header);
      writeReply(response, malformedReply());
      return;
    }
    const bodyResult = await readBody(request, this.limits);
    if (bodyResult.kind === 'truncated') return;
    if (bodyResult.kind === 'too-large') {
      this.onMalformed('content-length');
      writeReply(response, malformedReply());
      return;
    }
    const content = {
      httpMethod: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: forwardedHeaders(request.rawHeaders),
      body: bodyResult.body,
    };
    const remainingMs = Math.max(0, decoded.head.remainingMs - unreadMs);
    const call = { ...decoded.head, remainingMs, content };
    const reply = await this.home.handle(call, cancellation);
    if (response.destroyed) return;
    writeReply(response, reply);
  }
}
