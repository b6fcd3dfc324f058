import { mintTicket } from '@daisyferry/execution/ticket';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { Member } from '@daisyferry/model/member';
import { RetryTokenTable } from '@daisyferry/retries/retry-token-table';
import { RetryTokens } from '@daisyferry/retries/retry-tokens';
import { describe, expect, it } from 'vitest';
import { AttemptCounter } from '../src/attempt-counter';
import type { CallResult } from '../src/call-message';
import { Cancellation } from '../src/cancellation';
import type { EntryCall, EntryOrigin, EntryResponse } from '../src/entry-call';
import { IdempotentRoots } from '../src/idempotent-roots';
import { refusal, unknownOutcome } from '../src/results';
import { RootRequestRegistry } from '../src/root-request-registry';

const SELF = { name: 'teller-1', incarnation: '00000000000000aa' };
const NONCE = '0123456789abcdef0123456789abcdef';
const TOKENS = 2;
const LOST: CallResult = unknownOutcome('home-lost');
const DONE: CallResult = {
  outcome: 'completed',
  statusCode: 200,
  headers: [],
  body: { kind: 'buffered', bytes: Buffer.from('whole') },
};
const codec = new TicketCodec(undefined);

function member(incarnation: string): Member {
  return {
    id: { name: 'teller-2', incarnation },
    service: 'teller',
    dataCentre: 'quiapo',
    region: 'ncr',
    address: '127.0.0.1',
    peerPort: 1,
    gossipPort: 1,
    slots: 1,
    connections: 1,
    targetState: 'serving',
    version: 1,
  };
}

function entryCall(ticketText: string | undefined, origin: EntryOrigin['kind']): EntryCall {
  const decoded = ticketText === undefined ? undefined : codec.decode(ticketText);
  const ticket = decoded?.ok ? decoded.ticket : undefined;
  const rule = {
    name: 'rates',
    pathPrefix: '/rates',
    class: 'interactive' as const,
    idempotent: true,
    defaultDeadlineMs: 1_000,
    maxDeadlineMs: 1_000,
  };
  return {
    request: {
      service: 'teller',
      content: {
        httpMethod: 'GET',
        path: '/rates',
        headers: [],
        body: { kind: 'buffered', bytes: Buffer.alloc(0) },
      },
      requestedBudgetMs: undefined,
      ticketText,
      origin: { kind: origin } as EntryOrigin,
      cancellation: new Cancellation(),
    },
    rule,
    policy: {
      service: 'teller',
      methods: [rule],
      retries: { tokensPerRoot: TOKENS, maxShare: 0.1 },
      drain: { noNewWorkAfterMs: 1, maxWaitMs: 1, maxLeavingShare: 1 },
      limits: { queueDelayTargetMs: 1, maxQueueMs: 1, warmUpMs: 0 },
      tickets: { lifetimeMs: 60_000, maxAnswerBytes: 0 },
    },
    rank: 1,
    className: 'interactive',
    rootId: ticket?.nonce ?? NONCE,
    rootHash: 0,
    thresholdKey: 'teller/rates',
    deadlineAtMs: 1_000,
    retryTokens: new RetryTokens(TOKENS),
    ticket,
    progress: new AttemptCounter(),
    eventFields: { root: NONCE, service: 'teller', method: 'rates' },
  };
}

/** Creates roots whose attempts return the given results in turn, the last one repeatedly. */
function createRoots(results: readonly (CallResult | Promise<CallResult>)[], maxRoots = 10) {
  let attempts = 0;
  const forwarded: string[] = [];
  const roots = new IdempotentRoots({
    self: SELF,
    roots: new RootRequestRegistry(new RetryTokenTable(), maxRoots),
    directory: {
      epoch: 0,
      membersOf: () => [],
      memberNamed: (name) =>
        name === 'teller-2'
          ? { member: member('00000000000000bb'), reachability: 'alive' }
          : undefined,
    },
    codec,
    scheduler: { nowMs: () => 0, after: () => ({ cancel: () => undefined }) },
    forwarder: {
      forward: async (home): Promise<EntryResponse> => {
        forwarded.push(home.id.name);
        return { result: DONE, rootId: NONCE, className: undefined, ticket: undefined };
      },
    },
    attempt: async (entry) => {
      entry.progress.countAttempt();
      const result = results[Math.min(attempts, results.length - 1)] ?? LOST;
      attempts += 1;
      return result;
    },
  });
  return {
    run: async (ticketText?: string, origin: EntryOrigin['kind'] = 'caller') =>
      roots.handle(entryCall(ticketText, origin)),
    attempts: () => attempts,
    forwarded,
  };
}

describe('IdempotentRoots', () => {
  it('issues a ticket only to a caller whose request has no final result', async () => {
    expect((await createRoots([DONE]).run()).ticket).toBeUndefined();
    expect((await createRoots([LOST]).run()).ticket).toContain(NONCE);
  });

  it('allows as many repeats of a root request as it has retry tokens', async () => {
    const { run, attempts } = createRoots([LOST]);
    const { ticket } = await run();
    const reasons: string[] = [];
    for (let repeat = 0; repeat < TOKENS + 3; repeat += 1) {
      const { result } = await run(ticket);
      reasons.push('reason' in result ? result.reason : result.outcome);
    }
    expect(attempts()).toBe(1 + TOKENS);
    expect(reasons.slice(TOKENS)).toEqual(new Array(3).fill('earlier-try'));
  });

  it('reports a refused repeat as unknown when the first try may have run', async () => {
    const shed = refusal('shed', 100);
    const { run } = createRoots([LOST, shed]);
    const { ticket } = await run();
    expect((await run(ticket)).result).toEqual(unknownOutcome('earlier-try'));
  });

  it('reports a refused repeat as not-run when all tries were refused', async () => {
    const shed = refusal('queue-full', 100);
    const { run } = createRoots([shed]);
    const { ticket } = await run();
    for (let repeat = 0; repeat < TOKENS; repeat += 1) {
      expect((await run(ticket)).result).toEqual(shed);
    }
    expect((await run(ticket)).result).toEqual(refusal('retries-exhausted', 0));
  });

  it('joins a repeat to the try in progress', async () => {
    let finish: (result: CallResult) => void = () => undefined;
    const pending = new Promise<CallResult>((resolve) => {
      finish = resolve;
    });
    const { run, attempts } = createRoots([LOST, pending]);
    const { ticket } = await run();
    const repeats = [run(ticket), run(ticket), run(ticket)];
    finish(DONE);
    const responses = await Promise.all(repeats);
    expect(responses.map(({ result }) => result)).toEqual([DONE, DONE, DONE]);
    expect(attempts()).toBe(2);
  });

  it.each([
    {
      name: 'another incarnation of this daemon',
      home: { ...SELF, incarnation: '00000000000000cc' },
    },
    { name: 'an unknown daemon', home: { name: 'gone-1', incarnation: SELF.incarnation } },
    {
      name: 'an earlier incarnation of a known daemon',
      home: { name: 'teller-2', incarnation: '00000000000000cc' },
    },
  ])('does not run a ticket of $name, whose tokens are lost', async ({ home }) => {
    const { run, attempts, forwarded } = createRoots([DONE]);
    const ticket = codec.encode(mintTicket(home, 60_000, NONCE, 0));
    expect((await run(ticket)).result).toEqual(unknownOutcome('earlier-try'));
    expect([attempts(), forwarded.length]).toEqual([0, 0]);
  });

  it('forwards a repeat once to the daemon that keeps its tokens', async () => {
    const { run, attempts, forwarded } = createRoots([DONE]);
    const home = { name: 'teller-2', incarnation: '00000000000000bb' };
    const ticket = codec.encode(mintTicket(home, 60_000, NONCE, 0));
    expect((await run(ticket)).result).toEqual(DONE);
    expect(forwarded).toEqual(['teller-2']);
    expect((await run(ticket, 'forwarded')).result).toEqual(unknownOutcome('earlier-try'));
    expect([attempts(), forwarded.length]).toEqual([0, 1]);
  });

  it('refuses new root requests when the registry is full', async () => {
    const { run, attempts } = createRoots([LOST], 0);
    expect((await run()).ticket).toBeUndefined();
    const ticket = codec.encode(mintTicket(SELF, 60_000, NONCE, 0));
    expect((await run(ticket)).result).toMatchObject({ reason: 'records-full' });
    expect(attempts()).toBe(1);
  });
});
