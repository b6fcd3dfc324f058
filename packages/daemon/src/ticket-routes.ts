import type { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import { Header } from '@daisyferry/model/headers';
import { TICKETS_PATH } from '@daisyferry/model/local-api';
import { checkDocument, formatProblem } from '@daisyferry/settings/check-document';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { writeEntryResponse } from './response-writer';

const MAX_TICKETS = 100;
const BAD_REQUEST_STATUS = 400;

const ticketsSchema = z.strictObject({
  method: z.string().min(1).max(16),
  path: z.string().startsWith('/').max(2_048),
  count: z.int().min(1).max(MAX_TICKETS),
});

/** Registers the route that issues tickets to callers in advance. */
export function registerTicketRoutes(
  app: FastifyInstance,
  issuer: TicketIssuer,
  ownService: string,
): void {
  app.post(TICKETS_PATH, (request, reply) => {
    const validation = checkDocument(ticketsSchema, request.body);
    if (!validation.ok) {
      reply.code(BAD_REQUEST_STATUS).send({ problems: validation.problems.map(formatProblem) });
      return;
    }
    const service = request.headers[Header.service];
    const issued = issuer.issueBatch(
      typeof service === 'string' ? service : ownService,
      validation.value,
    );
    if (!('outcome' in issued)) {
      reply.send(issued);
      return;
    }
    reply.hijack();
    writeEntryResponse(reply.raw, {
      result: issued,
      rootId: '',
      className: undefined,
      ticket: undefined,
    });
  });
}
