import { afterEach, describe, expect, it } from 'vitest';
import type { CallOutcome } from '../src/call-outcome';
import type { CallRequest } from '../src/call-request';
import { DaisyferryClient } from '../src/daisyferry-client';
import { FakeDaemon, type Reaction, type SeenRequest } from './fake-daemon';

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
const DONE: Reaction = {
  kind: 'answer',
  statusCode: 201,
  headers: { 'daisyferry-outcome': 'completed', 'daisyferry-root': 'r1' },
  body: 'paid',
};

function refused(reason: string, headers: Record<string, string> = {}, statusCode = 503): Reaction {
  return {
    kind: 'answer',
    statusCode,
    headers: { 'daisyferry-outcome': 'not-run', 'daisyferry-reason': reason, ...headers },
  };
}

function unknown(reason: string): Reaction {
  return {
    kind: 'answer',
    statusCode: 502,
    headers: { 'daisyferry-outcome': 'unknown', 'daisyferry-reason': reason },
  };
}

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

async function daemonWith(react: (seen: SeenRequest, index: number) => Reaction) {
  const daemon = new FakeDaemon(react);
  const origin = await daemon.start();
  cleanUps.push(async () => daemon.stop());
  return { daemon, origin };
}

function clientOf(daemons: readonly string[]): DaisyferryClient {
  const client = new DaisyferryClient({ daemons, service: 'vault', random: () => 0 });
  cleanUps.push(async () => client.close());
  return client;
}

/** Makes one call against a daemon that reacts by a list, its last entry for ever. */
async function callWith(request: CallRequest, reactions: readonly Reaction[]) {
  const { daemon, origin } = await daemonWith(
    (_, index) => reactions[Math.min(index, reactions.length - 1)] ?? { kind: 'silent' },
  );
  const outcome = await clientOf([origin]).call(request);
  const tickets = daemon.seen.map(({ headers }) => headers['daisyferry-ticket']);
  return { outcome, tickets, daemon };
}

function summary(outcome: CallOutcome): string {
  return 'reason' in outcome ? `${outcome.kind} ${outcome.reason}` : outcome.kind;
}

const WITH_TICKET = { ...PAYOUT, ticket: 'T1' };

interface Case {
  readonly title: string;
  readonly request: CallRequest;
  readonly reactions: readonly Reaction[];
  readonly outcome: string;
  /** Ticket of each try. */
  readonly tickets: readonly (string | undefined)[];
}

const CASES: readonly Case[] = [
  {
    title: 'sends a money call again with the ticket that it is given',
    request: PAYOUT,
    reactions: [refused('ticket-required', { 'daisyferry-ticket': 'T1' }, 428), DONE],
    outcome: 'completed',
    tickets: [undefined, 'T1'],
  },
  {
    title: 'repeats an unknown money call with its own ticket only',
    request: WITH_TICKET,
    reactions: [unknown('home-lost'), { kind: 'reset' }, DONE],
    outcome: 'completed',
    tickets: ['T1', 'T1', 'T1'],
  },
  {
    title: 'reports an unknown money call after its last try',
    request: WITH_TICKET,
    reactions: [{ kind: 'reset' }],
    outcome: 'unknown connection-lost',
    tickets: ['T1', 'T1', 'T1'],
  },
  {
    title: 'never repeats a money call that was lost without a ticket',
    request: PAYOUT,
    reactions: [{ kind: 'reset' }, DONE],
    outcome: 'unknown connection-lost',
    tickets: [undefined],
  },
  {
    title: 'takes a cut answer for no answer',
    request: { ...PAYOUT, ticket: 'T1' },
    reactions: [{ kind: 'cut', headers: { 'daisyferry-outcome': 'completed' } }, DONE],
    outcome: 'completed',
    tickets: ['T1', 'T1'],
  },
  {
    title: 'uses the fresh ticket of a refusal',
    request: WITH_TICKET,
    reactions: [refused('queue-full', { 'daisyferry-ticket': 'T2' }), DONE],
    outcome: 'completed',
    tickets: ['T1', 'T2'],
  },
  {
    title: 'does not use a new ticket after an unknown outcome that stays unknown',
    request: WITH_TICKET,
    reactions: [unknown('ticket-expired'), DONE],
    outcome: 'unknown ticket-expired',
    tickets: ['T1'],
  },
  {
    title: 'gives up on a request that is wrong',
    request: QUOTE,
    reactions: [refused('unknown-method', {}, 404)],
    outcome: 'not-run unknown-method',
    tickets: [undefined],
  },
  {
    title: 'does not repeat an idempotent call of unknown outcome without a root ticket',
    request: QUOTE,
    reactions: [{ kind: 'reset' }, DONE],
    outcome: 'unknown connection-lost',
    tickets: [undefined],
  },
  {
    title: 'repeats an idempotent call with its root ticket',
    request: { ...QUOTE, ticket: 'R1' },
    reactions: [{ kind: 'reset' }, DONE],
    outcome: 'completed',
    tickets: ['R1', 'R1'],
  },
  {
    title: 'does not repeat what the target itself failed',
    request: { ...QUOTE, ticket: 'R1' },
    reactions: [{ kind: 'answer', statusCode: 500, headers: { 'daisyferry-outcome': 'failed' } }],
    outcome: 'failed',
    tickets: ['R1'],
  },
  {
    title: 'takes an answer of something else for unknown',
    request: PAYOUT,
    reactions: [{ kind: 'answer', statusCode: 200, body: 'welcome' }],
    outcome: 'unknown answer-malformed',
    tickets: [undefined],
  },
];

describe('daisyferry client', () => {
  it.each(CASES)('$title', async ({ request, reactions, outcome, tickets }) => {
    const result = await callWith(request, reactions);
    expect(summary(result.outcome)).toBe(outcome);
    expect(result.tickets).toEqual(tickets);
  });

  it('sends service, remaining budget and body, and returns the whole answer', async () => {
    const { outcome, daemon } = await callWith(WITH_TICKET, [DONE]);
    expect(outcome).toMatchObject({ kind: 'completed', statusCode: 201, root: 'r1' });
    expect(outcome.kind === 'completed' && outcome.body.toString()).toBe('paid');
    const [seen] = daemon.seen;
    expect(seen?.headers['daisyferry-service']).toBe('vault');
    const remainingMs = Number(seen?.headers['daisyferry-deadline-ms']);
    expect(remainingMs).toBeGreaterThan(0);
    expect(remainingMs).toBeLessThanOrEqual(PAYOUT.deadlineMs);
    expect(seen?.body).toBe(PAYOUT.body);
  });

  it('does not come back when the refusal asks for more time than is left', async () => {
    const late = refused('shed', { 'daisyferry-retry-after-ms': '30000' });
    const { outcome, daemon } = await callWith(QUOTE, [late, DONE]);
    expect(outcome).toEqual({ kind: 'not-run', reason: 'shed', retryAfterMs: 30_000 });
    expect(daemon.seen).toHaveLength(1);
  });

  it('tells that a call ran whose answer is no longer held', async () => {
    const body = JSON.stringify({
      outcome: 'completed',
      reason: 'answer-not-held',
      targetStatusCode: 201,
    });
    const headers = { 'daisyferry-outcome': 'completed' };
    const gone: Reaction = { kind: 'answer', statusCode: 410, headers, body };
    const { outcome } = await callWith(WITH_TICKET, [gone]);
    expect(outcome).toEqual({ kind: 'ran', outcome: 'completed', targetStatusCode: 201 });
  });

  it('uses each ticket taken ahead once', async () => {
    const { daemon, origin } = await daemonWith(({ path }) =>
      path === '/_daisyferry/tickets'
        ? { kind: 'answer', statusCode: 200, body: '{"tickets":["A","B"],"expiresInMs":60000}' }
        : DONE,
    );
    const client = clientOf([origin]);
    expect(await client.takeTickets('POST', '/payouts', 2)).toBe(2);
    await client.call(PAYOUT);
    await client.call(PAYOUT);
    expect(client.ticketCount('POST', '/payouts')).toBe(0);
    expect(daemon.seen.map(({ headers }) => headers['daisyferry-ticket'])).toEqual([
      undefined,
      'A',
      'B',
    ]);
    expect(JSON.parse(daemon.seen[0]?.body ?? '')).toEqual({
      method: 'POST',
      path: '/payouts',
      count: 2,
    });
  });

  it.each(['not JSON', '{"tickets":[1]}', '{}'])('takes no tickets from %s', async (body) => {
    const { origin } = await daemonWith(() => ({ kind: 'answer', statusCode: 200, body }));
    expect(await clientOf([origin]).takeTickets('POST', '/payouts', 2)).toBe(0);
  });

  it('turns to another daemon with the same ticket when one cannot be reached', async () => {
    const gone = await daemonWith(() => DONE);
    await gone.daemon.stop();
    const { daemon, origin } = await daemonWith(() => DONE);
    const outcome = await clientOf([gone.origin, origin]).call(WITH_TICKET);
    expect(outcome.kind).toBe('completed');
    expect(daemon.seen[0]?.headers['daisyferry-ticket']).toBe('T1');
  });

  it('reports a call as not run when no daemon could be reached', async () => {
    const gone = await daemonWith(() => DONE);
    await gone.daemon.stop();
    const outcome = await clientOf([gone.origin]).call(WITH_TICKET);
    expect(summary(outcome)).toBe('not-run daemon-unreachable');
  });

  it('stays unknown when an earlier try was lost and the next finds no daemon', async () => {
    const gone = await daemonWith(() => DONE);
    await gone.daemon.stop();
    const { origin } = await daemonWith(() => ({ kind: 'reset' }));
    const outcome = await clientOf([origin, gone.origin, gone.origin]).call(WITH_TICKET);
    expect(outcome).toEqual({ kind: 'unknown', reason: 'connection-lost', ticket: 'T1' });
  });

  it('closes the connection of a call whose caller gives up', async () => {
    const { daemon, origin } = await daemonWith(() => ({ kind: 'silent' }));
    const controller = new AbortController();
    const calling = clientOf([origin]).call({ ...WITH_TICKET, signal: controller.signal });
    await daemon.until(() => daemon.seen.length === 1);
    controller.abort();
    expect(await calling).toEqual({ kind: 'unknown', reason: 'cancelled', ticket: 'T1' });
    await daemon.until(() => daemon.abandoned === 1);
    expect(daemon.seen).toHaveLength(1);
  });

  it('sends nothing for a caller that has given up before', async () => {
    const { daemon, origin } = await daemonWith(() => DONE);
    const outcome = await clientOf([origin]).call({ ...QUOTE, signal: AbortSignal.abort() });
    expect(summary(outcome)).toBe('not-run cancelled');
    expect(daemon.seen).toHaveLength(0);
  });

  it('is not made to send a call twice by a connection that the daemon closes', async () => {
    const { daemon, origin } = await daemonWith((_, index) =>
      index % 2 === 0 ? DONE : { kind: 'reset' },
    );
    const client = clientOf([origin]);
    for (let call = 0; call < 10; call += 1) await client.call({ ...QUOTE, path: `/${call}` });
    expect(daemon.seen.map(({ path }) => path)).toEqual(
      Array.from({ length: 10 }, (_, call) => `/${call}`),
    );
  });
});
