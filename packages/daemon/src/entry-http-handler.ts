import type { EntryOrigin, EntryPoint } from '@daisyferry/callpath/entry-call';
import { refusal } from '@daisyferry/callpath/results';
import { Header } from '@daisyferry/model/headers';
import { RefusalReason } from '@daisyferry/model/outcome';
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { writeEntryResponse } from './response-writer';
import type { BodyLimits } from './body-reader';
import { readBody } from './body-reader';
import { forwardedHeaders } from './forwarded-headers';
import { parseInteger } from './peer-codec';
import { cancelOnDisconnect } from './cancel-on-disconnect';

export interface EntryHttpHandlerOptions {
  readonly entry: EntryPoint;
  readonly ownService: string;
  readonly limits: BodyLimits;
  readonly originOf: (headers: IncomingHttpHeaders) => EntryOrigin;
}

/** Maximum time budget that a caller may request. */
const MAX_BUDGET_MS = 600_000;

function headerText(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

function respondBadRequest(response: ServerResponse, detail: string): void {
  writeEntryResponse(
    response,
    {
      result: refusal(RefusalReason.badRequest, 0),
      rootId: '',
      className: undefined,
      ticket: undefined,
    },
    detail,
  );
}

/**
 * Converts HTTP requests of callers, of the local target and of forwarding daemons into calls of
 * the entry, and writes their responses.
 */
export class EntryHttpHandler {
  constructor(private readonly options: EntryHttpHandlerOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headers } = request;
    const cancellation = cancelOnDisconnect(response);
    // The deadline header states the time left for the call, not a point in time.
    const budgetText = headerText(headers, Header.deadlineMs);
    const requestedBudgetMs = parseInteger(budgetText, 1, MAX_BUDGET_MS);
    if (budgetText !== undefined && requestedBudgetMs === undefined) {
      respondBadRequest(
        response,
        `${Header.deadlineMs}: expected a whole number of ms from 1 to ${MAX_BUDGET_MS}`,
      );
      return;
    }
    const bodyResult = await readBody(request, this.options.limits);
    if (bodyResult.kind === 'truncated') return;
    if (bodyResult.kind === 'too-large') {
      respondBadRequest(response, `body: longer than ${this.options.limits.maxBodyBytes} bytes`);
      return;
    }
    const entryResponse = await this.options.entry.handle({
      service: headerText(headers, Header.service) ?? this.options.ownService,
      content: {
        httpMethod: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: forwardedHeaders(request.rawHeaders),
        body: bodyResult.body,
      },
      requestedBudgetMs,
      ticketText: headerText(headers, Header.ticket),
      origin: this.options.originOf(headers),
      cancellation,
    });
    if (response.destroyed) return;
    writeEntryResponse(response, entryResponse);
  }
}
