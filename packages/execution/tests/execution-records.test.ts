import callChart from '@daisyferry/charts/call.chart.json';
import { Chart } from '@daisyferry/charts/chart';
import { describe, expect, it } from 'vitest';
import type { Claim, RecordedResponse } from '../src/claim';
import { ExecutionRecords, type ExecutionRecordsOptions } from '../src/execution-records';
import { mintTicket, type Ticket } from '../src/ticket';

const SELF = { name: 'vault-1', incarnation: '0123456789abcdef' };
const LIFETIME_MS = 60_000;
const SKEW_MS = 1_000;
const NONCE = 'ab'.repeat(16);
const RESPONSE: RecordedResponse = {
  statusCode: 201,
  headers: [['content-type', 'text/plain']],
  body: Buffer.from('paid out'),
  outcome: 'completed',
};

function nonceOf(index: number): string {
  return index.toString(16).padStart(32, '0');
}

function recordsWith(options: Partial<ExecutionRecordsOptions> = {}): ExecutionRecords {
  return new ExecutionRecords({
    self: SELF,
    byteBudget: 1_000_000,
    maxLifetimeMs: LIFETIME_MS,
    maxClockSkewMs: SKEW_MS,
    ...options,
  });
}

function ticketOf(nonce = NONCE, nowMs = 0, lifetimeMs = LIFETIME_MS): Ticket {
  return mintTicket(SELF, lifetimeMs, nonce, nowMs);
}

function claimAndHandOver(records: ExecutionRecords, nonce = NONCE): void {
  expect(records.claim(ticketOf(nonce), 0)).toEqual({ kind: 'granted' });
  expect(records.handOver(nonce, 0)).toBe(true);
}

describe('ExecutionRecords', () => {
  it('grants a ticket once, lets repeats join and hands over once', () => {
    const records = recordsWith();
    expect(records.claim(ticketOf(), 1)).toEqual({ kind: 'granted' });
    expect(records.claim(ticketOf(), 2)).toEqual({ kind: 'join' });
    expect(records.handOver(NONCE, 3)).toBe(true);
    expect(records.handOver(NONCE, 4)).toBe(false);
    expect(records.claim(ticketOf(), 5)).toEqual({ kind: 'join' });
  });

  it.each<{
    title: string;
    settle: (records: ExecutionRecords) => void;
    first: Claim;
    repeat: Claim;
  }>([
    {
      title: 'a response',
      settle: (records) => records.answered(NONCE, RESPONSE, 1),
      first: { kind: 'answered', response: RESPONSE },
      repeat: { kind: 'answered', response: RESPONSE },
    },
    {
      title: 'a lost target',
      settle: (records) => records.lost(NONCE, 'target-lost', 1),
      first: { kind: 'unknown', reason: 'target-lost' },
      repeat: { kind: 'unknown', reason: 'target-lost' },
    },
    {
      title: 'a truncated response',
      settle: (records) => records.lost(NONCE, 'answer-cut', 1),
      first: { kind: 'unknown', reason: 'answer-cut' },
      repeat: { kind: 'unknown', reason: 'answer-cut' },
    },
    {
      title: 'a target that shed before work',
      settle: (records) => records.targetShed(NONCE, 1),
      first: { kind: 'refused', reason: 'target-shed' },
      repeat: { kind: 'refused', reason: 'ticket-refused' },
    },
  ])(
    'returns $title to waiting uses of the ticket and to later repeats',
    ({ settle, first, repeat }) => {
      const records = recordsWith();
      claimAndHandOver(records);
      const claims: Claim[] = [];
      records.onSettled(NONCE, (claim) => claims.push(claim));
      const unsubscribe = records.onSettled(NONCE, () => claims.push({ kind: 'join' }));
      unsubscribe();
      settle(records);
      expect(claims).toEqual([first]);
      expect(records.claim(ticketOf(), 2)).toEqual(repeat);
      records.onSettled(NONCE, (claim) => claims.push(claim));
      expect(claims[1]).toEqual(repeat);
      expect(records.handOver(NONCE, 3)).toBe(false);
    },
  );

  it('never runs a refused ticket and never refuses a running one', () => {
    const records = recordsWith();
    records.claim(ticketOf(), 0);
    expect(records.refuse(NONCE, 'shed', 1)).toBe(true);
    expect(records.handOver(NONCE, 2)).toBe(false);
    expect(records.claim(ticketOf(), 3)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
    const other = nonceOf(1);
    claimAndHandOver(records, other);
    expect(records.refuse(other, 'caller-gone', 1)).toBe(false);
    expect(records.claim(ticketOf(other), 1)).toEqual({ kind: 'join' });
  });

  it.each<{ title: string; ticket: Ticket; nowMs: number; claim: Claim }>([
    {
      title: 'of another incarnation of this daemon',
      ticket: { ...ticketOf(), home: { ...SELF, incarnation: 'f'.repeat(16) } },
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'other-incarnation' },
    },
    {
      title: 'of another daemon',
      ticket: { ...ticketOf(), home: { ...SELF, name: 'vault-2' } },
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'other-incarnation' },
    },
    {
      title: 'at its expiry',
      ticket: ticketOf(),
      nowMs: LIFETIME_MS,
      claim: { kind: 'unknown', reason: 'ticket-expired' },
    },
    {
      title: 'a ms before its expiry',
      ticket: ticketOf(),
      nowMs: LIFETIME_MS - 1,
      claim: { kind: 'granted' },
    },
    {
      title: 'that expires as late as the clock skew allows',
      ticket: ticketOf(NONCE, SKEW_MS),
      nowMs: 0,
      claim: { kind: 'granted' },
    },
    {
      title: 'that expires later than that',
      ticket: ticketOf(NONCE, SKEW_MS + 1),
      nowMs: 0,
      claim: { kind: 'refused', reason: 'ticket-invalid' },
    },
    {
      title: 'that expires too late to be recorded',
      ticket: ticketOf(NONCE, 0, 10 * LIFETIME_MS),
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'ticket-expired' },
    },
    {
      title: 'whose expiry is NaN',
      ticket: { ...ticketOf(), expiresAtMs: Number.NaN },
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'ticket-expired' },
    },
  ])('returns the expected claim for a ticket $title', ({ ticket, nowMs, claim }) => {
    expect(recordsWith().claim(ticket, nowMs)).toEqual(claim);
  });

  it('accepts a ticket minted at a fraction of a ms without clock skew allowance', () => {
    const records = recordsWith({ maxClockSkewMs: 0 });
    expect(records.claim(ticketOf(NONCE, 0.6), 0.6)).toEqual({ kind: 'granted' });
  });

  it('keeps refusing a ticket that expired too late, even when its expiry becomes acceptable', () => {
    const records = recordsWith();
    const early = ticketOf(NONCE, SKEW_MS + 1);
    records.claim(early, 0);
    expect(records.claim(early, 2_000)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('does not hand over a call whose ticket expired while the daemon was paused', () => {
    const records = recordsWith();
    records.claim(ticketOf(), 0);
    const claims: Claim[] = [];
    records.onSettled(NONCE, (claim) => claims.push(claim));
    expect(records.handOver(NONCE, LIFETIME_MS)).toBe(false);
    expect(claims).toEqual([{ kind: 'refused', reason: 'deadline-passed' }]);
  });

  it('does not accept an expired ticket again after the clock stepped back', () => {
    const records = recordsWith();
    claimAndHandOver(records);
    records.answered(NONCE, RESPONSE, 1);
    records.sweep(3 * LIFETIME_MS);
    expect(records.claim(ticketOf(), 2)).toEqual({ kind: 'unknown', reason: 'ticket-expired' });
  });

  it('does not keep a response that arrives after its ticket was removed', () => {
    const records = recordsWith();
    claimAndHandOver(records);
    records.sweep(3 * LIFETIME_MS);
    expect(records.stats().inProgress).toBe(1);
    records.answered(NONCE, RESPONSE, 3 * LIFETIME_MS);
    expect(records.stats()).toMatchObject({ records: 0, bytes: 0, responsesKept: 0 });
  });

  it('refuses new tickets permanently while leaving', () => {
    const records = recordsWith();
    records.setLeaving(true);
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'refused', reason: 'leaving' });
    records.setLeaving(false);
    expect(records.claim(ticketOf(), 1)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('reports the status of a call that ran when its response is not kept', () => {
    const records = recordsWith();
    claimAndHandOver(records);
    records.answered(NONCE, undefined, 1, { statusCode: 503, outcome: 'failed' });
    const claim = records.claim(ticketOf(), 2);
    expect(claim).toMatchObject({
      kind: 'answered',
      response: { statusCode: 410, outcome: 'failed', reason: 'answer-not-held' },
    });
    const body = claim.kind === 'answered' ? claim.response.body.toString() : '';
    expect(JSON.parse(body)).toMatchObject({ targetStatusCode: 503, outcome: 'failed' });
  });

  it('does not report an outcome that was not recorded', () => {
    const records = recordsWith();
    claimAndHandOver(records);
    records.answered(NONCE, undefined, 1);
    const claim = records.claim(ticketOf(), 2);
    expect(claim).toEqual({ kind: 'unknown', reason: 'answer-not-held' });
  });

  it('evicts the oldest responses, never summaries, and refuses new calls when summaries fill the budget', () => {
    const records = recordsWith({ byteBudget: 12_000 });
    const body = Buffer.alloc(3_000);
    for (let index = 0; index < 10; index += 1) {
      claimAndHandOver(records, nonceOf(index));
      records.answered(nonceOf(index), { ...RESPONSE, body }, 0);
    }
    expect(records.stats()).toMatchObject({ records: 10, responsesKept: 3, responsesDropped: 7 });
    expect(records.claim(ticketOf(nonceOf(0)), 1)).toMatchObject({ response: { statusCode: 410 } });
    expect(records.claim(ticketOf(nonceOf(9)), 1)).toMatchObject({ response: { statusCode: 201 } });

    const outcomes = new Map<string, number>();
    for (let index = 10; index < 2_000; index += 1) {
      const nonce = nonceOf(index);
      const claim = records.claim(ticketOf(nonce), 1);
      const text = claim.kind === 'refused' ? claim.reason : claim.kind;
      outcomes.set(text, (outcomes.get(text) ?? 0) + 1);
      if (claim.kind !== 'granted') continue;
      records.handOver(nonce, 1);
      records.answered(nonce, undefined, 1);
    }
    expect([...outcomes.keys()].sort()).toEqual(['granted', 'records-full']);
    expect(records.stats().bytes).toBeLessThanOrEqual(12_000);
    expect(records.claim(ticketOf(nonceOf(0)), 2)).toMatchObject({ kind: 'answered' });
    records.sweep(3 * LIFETIME_MS);
    expect(records.stats()).toMatchObject({ records: 0, bytes: 0, responsesKept: 0 });
  });

  it('keeps refusing a ticket that was refused for lack of memory', () => {
    const records = recordsWith({ byteBudget: 1_000 });
    claimAndHandOver(records, nonceOf(1));
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'refused', reason: 'records-full' });
    records.lost(nonceOf(1), 'target-lost', 1);
    expect(records.claim(ticketOf(nonceOf(2)), 1)).toEqual({ kind: 'granted' });
    expect(records.claim(ticketOf(), 1)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('follows its chart: without the transition no call is handed over', () => {
    const states = { ...callChart.states, claimed: { on: { REFUSE: 'refused' } } };
    const options = { self: SELF, byteBudget: 1e6, maxLifetimeMs: LIFETIME_MS, maxClockSkewMs: 0 };
    const records = new ExecutionRecords(options, new Chart({ ...callChart, states }));
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'granted' });
    expect(records.handOver(NONCE, 1)).toBe(false);
  });
});
