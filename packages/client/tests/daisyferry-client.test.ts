import { afterEach, describe, expect, it } from 'vitest';
import type { CallOutcome } from '../src/call-outcome';
import type { CallRequest } from '../src/call-request';
import { DaisyferryClient } from '../src/daisyferry-client';
import { FakeDaemon, type FakeResponse, type ReceivedRequest } from './fake-daemon';

const PAYOUT: CallRequest = {
  method: 'POST',
  path: '/payouts',
  body: '{"amount":120}',
  deadlineMs: 20_000,
  idempotent: false,
};
const QUOTE: CallRequest = {
  method: 'GET',
  path: '/rates?karat=18',
  deadlineMs: 20_000,
  idempotent: true,
};
const COMPLETED: FakeResponse = {
  kind: 'response',
  statusCode: 201,
  headers: { 'daisyferry-outcome': 'completed', 'daisyferry-root': 'r1' },
  body: 'paid',
};

function refusedResponse(
  reason: string,
  headers: Record<string, string> = {},
  statusCode = 503,
): FakeResponse {
  return {
    kind: 'response',
    statusCode,
    headers: { 'daisyferry-outcome': 'not-run', 'daisyferry-reason': reason, ...headers },
  };
}

function unknownResponse(reason: string): FakeResponse {
  return {
    kind: 'response',
    statusCode: 502,
    headers: { 'daisyferry-outcome': 'unknown', 'daisyferry-reason': reason },
  };
}

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startFakeDaemon(
  respondTo: (request: ReceivedRequest, index: number) => FakeResponse,
) {
  const daemon = new FakeDaemon(respondTo);
  const origin = await daemon.start();
  cleanups.push(async () => daemon.stop());
  return { daemon, origin };
}

function createClient(daemons: readonly string[]): DaisyferryClient {
  const client = new DaisyferryClient({ daemons, service: 'vault', random: () => 0 });
  cleanups.push(async () => client.close());
  return client;
}

/** Makes one call to a daemon that sends the given responses in order and repeats the last one. */
async function callFakeDaemon(request: CallRequest, responses: readonly FakeResponse[]) {
  const { daemon, origin } = await startFakeDaemon(
    (_, index) => responses[Math.min(index, responses.length - 1)] ?? { kind: 'no-response' },
  );
  const outcome = await createClient([origin]).call(request);
  const tickets = daemon.receivedRequests.map(({ headers }) => headers['daisyferry-ticket']);
  return { outcome, tickets, daemon };
}

function summarizeOutcome(outcome: CallOutcome): string {
  return 'reason' in outcome ? `${outcome.kind} ${outcome.reason}` : outcome.kind;
}

const WITH_TICKET = { ...PAYOUT, ticket: 'T1' };

interface ClientCase {
  readonly title: string;
  readonly request: CallRequest;
  readonly responses: readonly FakeResponse[];
  readonly outcome: string;
  /** Ticket of each attempt. */
  readonly tickets: readonly (string | undefined)[];
}

const CASES: readonly ClientCase[] = [
  {
    title: 'retries a payout with the ticket that the refusal issues',
    request: PAYOUT,
    responses: [refusedResponse('ticket-required', { 'daisyferry-ticket': 'T1' }, 428), COMPLETED],
    outcome: 'completed',
    tickets: [undefined, 'T1'],
  },
  {
    title: 'retries a payout with an unknown outcome only with its own ticket',
    request: WITH_TICKET,
    responses: [unknownResponse('home-lost'), { kind: 'reset' }, COMPLETED],
    outcome: 'completed',
    tickets: ['T1', 'T1', 'T1'],
  },
  {
    title: 'reports the unknown outcome of a payout after its last attempt',
    request: WITH_TICKET,
    responses: [{ kind: 'reset' }],
    outcome: 'unknown connection-lost',
    tickets: ['T1', 'T1', 'T1'],
  },
  {
    title: 'does not retry a payout that was sent without a ticket and lost',
    request: PAYOUT,
    responses: [{ kind: 'reset' }, COMPLETED],
    outcome: 'unknown connection-lost',
    tickets: [undefined],
  },
  {
    title: 'treats a truncated response as a lost connection',
    request: { ...PAYOUT, ticket: 'T1' },
    responses: [{ kind: 'truncated', headers: { 'daisyferry-outcome': 'completed' } }, COMPLETED],
    outcome: 'completed',
    tickets: ['T1', 'T1'],
  },
  {
    title: 'uses the new ticket of a refusal',
    request: WITH_TICKET,
    responses: [refusedResponse('queue-full', { 'daisyferry-ticket': 'T2' }), COMPLETED],
    outcome: 'completed',
    tickets: ['T1', 'T2'],
  },
  {
    title: 'does not retry after an unknown outcome that a retry cannot resolve',
    request: WITH_TICKET,
    responses: [unknownResponse('ticket-expired'), COMPLETED],
    outcome: 'unknown ticket-expired',
    tickets: ['T1'],
  },
  {
    title: 'does not retry a call of an unknown method',
    request: QUOTE,
    responses: [refusedResponse('unknown-method', {}, 404)],
    outcome: 'not-run unknown-method',
    tickets: [undefined],
  },
  {
    title: 'does not retry an idempotent call with an unknown outcome without a root ticket',
    request: QUOTE,
    responses: [{ kind: 'reset' }, COMPLETED],
    outcome: 'unknown connection-lost',
    tickets: [undefined],
  },
  {
    title: 'retries an idempotent call with its root ticket',
    request: { ...QUOTE, ticket: 'R1' },
    responses: [{ kind: 'reset' }, COMPLETED],
    outcome: 'completed',
    tickets: ['R1', 'R1'],
  },
  {
    title: 'does not retry a call to which the target responded with status 500',
    request: { ...QUOTE, ticket: 'R1' },
    responses: [{ kind: 'response', statusCode: 500, headers: { 'daisyferry-outcome': 'failed' } }],
    outcome: 'failed',
    tickets: ['R1'],
  },
  {
    title: 'treats a response without an outcome as unknown',
    request: PAYOUT,
    responses: [{ kind: 'response', statusCode: 200, body: 'welcome' }],
    outcome: 'unknown answer-malformed',
    tickets: [undefined],
  },
];

describe('DaisyferryClient', () => {
  it.each(CASES)('$title', async ({ request, responses, outcome, tickets }) => {
    const result = await callFakeDaemon(request, responses);
    expect(summarizeOutcome(result.outcome)).toBe(outcome);
    expect(result.tickets).toEqual(tickets);
  });

  it('sends service, remaining budget and body, and returns the complete response', async () => {
    const { outcome, daemon } = await callFakeDaemon(WITH_TICKET, [COMPLETED]);
    expect(outcome).toMatchObject({ kind: 'completed', statusCode: 201, root: 'r1' });
    expect(outcome.kind === 'completed' && outcome.body.toString()).toBe('paid');
    const [received] = daemon.receivedRequests;
    expect(received?.headers['daisyferry-service']).toBe('vault');
    const remainingMs = Number(received?.headers['daisyferry-deadline-ms']);
    expect(remainingMs).toBeGreaterThan(0);
    expect(remainingMs).toBeLessThanOrEqual(PAYOUT.deadlineMs);
    expect(received?.body).toBe(PAYOUT.body);
  });

  it('does not retry when the retry-after time exceeds the remaining budget', async () => {
    const lateRefusal = refusedResponse('shed', { 'daisyferry-retry-after-ms': '30000' });
    const { outcome, daemon } = await callFakeDaemon(QUOTE, [lateRefusal, COMPLETED]);
    expect(outcome).toEqual({ kind: 'not-run', reason: 'shed', retryAfterMs: 30_000 });
    expect(daemon.receivedRequests).toHaveLength(1);
  });

  it('reports a call that ran when its response is no longer stored', async () => {
    const body = JSON.stringify({
      outcome: 'completed',
      reason: 'answer-not-held',
      targetStatusCode: 201,
    });
    const headers = { 'daisyferry-outcome': 'completed' };
    const notStored: FakeResponse = { kind: 'response', statusCode: 410, headers, body };
    const { outcome } = await callFakeDaemon(WITH_TICKET, [notStored]);
    expect(outcome).toEqual({ kind: 'ran', outcome: 'completed', targetStatusCode: 201 });
  });

  it('uses each ticket requested in advance once', async () => {
    const { daemon, origin } = await startFakeDaemon(({ path }) =>
      path === '/_daisyferry/tickets'
        ? { kind: 'response', statusCode: 200, body: '{"tickets":["A","B"],"expiresInMs":60000}' }
        : COMPLETED,
    );
    const client = createClient([origin]);
    expect(await client.takeTickets('POST', '/payouts', 2)).toBe(2);
    await client.call(PAYOUT);
    await client.call(PAYOUT);
    expect(client.ticketCount('POST', '/payouts')).toBe(0);
    expect(daemon.receivedRequests.map(({ headers }) => headers['daisyferry-ticket'])).toEqual([
      undefined,
      'A',
      'B',
    ]);
    expect(JSON.parse(daemon.receivedRequests[0]?.body ?? '')).toEqual({
      method: 'POST',
      path: '/payouts',
      count: 2,
    });
  });

  it.each(['not JSON', '{"tickets":[1]}', '{}'])(
    'receives no tickets from the response body %s',
    async (body) => {
      const { origin } = await startFakeDaemon(() => ({ kind: 'response', statusCode: 200, body }));
      expect(await createClient([origin]).takeTickets('POST', '/payouts', 2)).toBe(0);
    },
  );

  it('switches to another daemon with the same ticket when one is unreachable', async () => {
    const stopped = await startFakeDaemon(() => COMPLETED);
    await stopped.daemon.stop();
    const { daemon, origin } = await startFakeDaemon(() => COMPLETED);
    const outcome = await createClient([stopped.origin, origin]).call(WITH_TICKET);
    expect(outcome.kind).toBe('completed');
    expect(daemon.receivedRequests[0]?.headers['daisyferry-ticket']).toBe('T1');
  });

  it('reports a call as not run when no daemon is reachable', async () => {
    const stopped = await startFakeDaemon(() => COMPLETED);
    await stopped.daemon.stop();
    const outcome = await createClient([stopped.origin]).call(WITH_TICKET);
    expect(summarizeOutcome(outcome)).toBe('not-run daemon-unreachable');
  });

  it('reports an unknown outcome when an attempt was lost and no daemon is reachable for the next one', async () => {
    const stopped = await startFakeDaemon(() => COMPLETED);
    await stopped.daemon.stop();
    const { origin } = await startFakeDaemon(() => ({ kind: 'reset' }));
    const outcome = await createClient([origin, stopped.origin, stopped.origin]).call(WITH_TICKET);
    expect(outcome).toEqual({ kind: 'unknown', reason: 'connection-lost', ticket: 'T1' });
  });

  it('closes the connection when the caller cancels the call', async () => {
    const { daemon, origin } = await startFakeDaemon(() => ({ kind: 'no-response' }));
    const controller = new AbortController();
    const calling = createClient([origin]).call({ ...WITH_TICKET, signal: controller.signal });
    await daemon.waitUntil(() => daemon.receivedRequests.length === 1);
    controller.abort();
    expect(await calling).toEqual({ kind: 'unknown', reason: 'cancelled', ticket: 'T1' });
    await daemon.waitUntil(() => daemon.abandonedRequests === 1);
    expect(daemon.receivedRequests).toHaveLength(1);
  });

  it('sends nothing for a call that is already cancelled', async () => {
    const { daemon, origin } = await startFakeDaemon(() => COMPLETED);
    const outcome = await createClient([origin]).call({ ...QUOTE, signal: AbortSignal.abort() });
    expect(summarizeOutcome(outcome)).toBe('not-run cancelled');
    expect(daemon.receivedRequests).toHaveLength(0);
  });

  it('does not send a call twice when the daemon closes the connection', async () => {
    const { daemon, origin } = await startFakeDaemon((_, index) =>
      index % 2 === 0 ? COMPLETED : { kind: 'reset' },
    );
    const client = createClient([origin]);
    for (let call = 0; call < 10; call += 1) await client.call({ ...QUOTE, path: `/${call}` });
    expect(daemon.receivedRequests.map(({ path }) => path)).toEqual(
      Array.from({ length: 10 }, (_, call) => `/${call}`),
    );
  });
});
