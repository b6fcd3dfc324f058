import callChart from '@daisyferry/charts/call.chart.json';
import { Chart } from '@daisyferry/charts/chart';
import { describe, expect, it } from 'vitest';
import type { Claim, RecordedAnswer } from '../src/claim';
import { ExecutionRecords, type ExecutionRecordsOptions } from '../src/execution-records';
import { mintTicket, type Ticket } from '../src/ticket';

const SELF = { name: 'vault-1', incarnation: '0123456789abcdef' };
const LIFETIME_MS = 60_000;
const SKEW_MS = 1_000;
const NONCE = 'ab'.repeat(16);
const ANSWER: RecordedAnswer = {
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

function running(records: ExecutionRecords, nonce = NONCE): void {
  expect(records.claim(ticketOf(nonce), 0)).toEqual({ kind: 'granted' });
  expect(records.handOver(nonce, 0)).toBe(true);
}

describe('execution records', () => {
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
      title: 'an answer',
      settle: (records) => records.answered(NONCE, ANSWER, 1),
      first: { kind: 'answered', answer: ANSWER },
      repeat: { kind: 'answered', answer: ANSWER },
    },
    {
      title: 'a lost target',
      settle: (records) => records.lost(NONCE, 'target-lost', 1),
      first: { kind: 'unknown', reason: 'target-lost' },
      repeat: { kind: 'unknown', reason: 'target-lost' },
    },
    {
      title: 'a cut answer',
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
  ])('tells those that wait and later repeats of $title', ({ settle, first, repeat }) => {
    const records = recordsWith();
    running(records);
    const told: Claim[] = [];
    records.onSettled(NONCE, (claim) => told.push(claim));
    const unsubscribe = records.onSettled(NONCE, () => told.push({ kind: 'join' }));
    unsubscribe();
    settle(records);
    expect(told).toEqual([first]);
    expect(records.claim(ticketOf(), 2)).toEqual(repeat);
    records.onSettled(NONCE, (claim) => told.push(claim));
    expect(told[1]).toEqual(repeat);
    expect(records.handOver(NONCE, 3)).toBe(false);
  });

  it('never runs a refused ticket and never refuses a running one', () => {
    const records = recordsWith();
    records.claim(ticketOf(), 0);
    expect(records.refuse(NONCE, 'shed', 1)).toBe(true);
    expect(records.handOver(NONCE, 2)).toBe(false);
    expect(records.claim(ticketOf(), 3)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
    const other = nonceOf(1);
    running(records, other);
    expect(records.refuse(other, 'caller-gone', 1)).toBe(false);
    expect(records.claim(ticketOf(other), 1)).toEqual({ kind: 'join' });
  });

  it.each<{ title: string; ticket: Ticket; nowMs: number; claim: Claim }>([
    {
      title: 'of another run of this daemon',
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
      title: 'as far ahead as clocks may differ',
      ticket: ticketOf(NONCE, SKEW_MS),
      nowMs: 0,
      claim: { kind: 'granted' },
    },
    {
      title: 'further ahead than that',
      ticket: ticketOf(NONCE, SKEW_MS + 1),
      nowMs: 0,
      claim: { kind: 'refused', reason: 'ticket-invalid' },
    },
    {
      title: 'too far ahead to be remembered',
      ticket: ticketOf(NONCE, 0, 10 * LIFETIME_MS),
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'ticket-expired' },
    },
    {
      title: 'that expires at no time',
      ticket: { ...ticketOf(), expiresAtMs: Number.NaN },
      nowMs: 0,
      claim: { kind: 'unknown', reason: 'ticket-expired' },
    },
  ])('judges a ticket $title', ({ ticket, nowMs, claim }) => {
    expect(recordsWith().claim(ticket, nowMs)).toEqual(claim);
  });

  it('accepts a ticket minted at a fraction of a ms with no allowance for clocks', () => {
    const records = recordsWith({ maxClockSkewMs: 0 });
    expect(records.claim(ticketOf(NONCE, 0.6), 0.6)).toEqual({ kind: 'granted' });
  });

  it('keeps a ticket refused that was too far ahead, also when its time has come', () => {
    const records = recordsWith();
    const early = ticketOf(NONCE, SKEW_MS + 1);
    records.claim(early, 0);
    expect(records.claim(early, 2_000)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('hands over nothing once the ticket has expired while the daemon was paused', () => {
    const records = recordsWith();
    records.claim(ticketOf(), 0);
    const told: Claim[] = [];
    records.onSettled(NONCE, (claim) => told.push(claim));
    expect(records.handOver(NONCE, LIFETIME_MS)).toBe(false);
    expect(told).toEqual([{ kind: 'refused', reason: 'deadline-passed' }]);
  });

  it('does not trust a clock that steps back over the expiry', () => {
    const records = recordsWith();
    running(records);
    records.answered(NONCE, ANSWER, 1);
    records.sweep(3 * LIFETIME_MS);
    expect(records.claim(ticketOf(), 2)).toEqual({ kind: 'unknown', reason: 'ticket-expired' });
  });

  it('keeps no answer that comes after its ticket was forgotten', () => {
    const records = recordsWith();
    running(records);
    records.sweep(3 * LIFETIME_MS);
    expect(records.stats().inProgress).toBe(1);
    records.answered(NONCE, ANSWER, 3 * LIFETIME_MS);
    expect(records.stats()).toMatchObject({ records: 0, bytes: 0, answersHeld: 0 });
  });

  it('refuses new tickets for ever while leaving', () => {
    const records = recordsWith();
    records.setLeaving(true);
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'refused', reason: 'leaving' });
    records.setLeaving(false);
    expect(records.claim(ticketOf(), 1)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('states that a call ran, and with which status, when its answer is not held', () => {
    const records = recordsWith();
    running(records);
    records.answered(NONCE, undefined, 1, { statusCode: 503, outcome: 'failed' });
    const claim = records.claim(ticketOf(), 2);
    expect(claim).toMatchObject({
      kind: 'answered',
      answer: { statusCode: 410, outcome: 'failed', reason: 'answer-not-held' },
    });
    const body = claim.kind === 'answered' ? claim.answer.body.toString() : '';
    expect(JSON.parse(body)).toMatchObject({ targetStatusCode: 503, outcome: 'failed' });
  });

  it('does not state an outcome that it was not told', () => {
    const records = recordsWith();
    running(records);
    records.answered(NONCE, undefined, 1);
    const claim = records.claim(ticketOf(), 2);
    expect(claim).toEqual({ kind: 'unknown', reason: 'answer-not-held' });
  });

  it('drops the oldest answers for room, never facts, and refuses new calls when facts fill it', () => {
    const records = recordsWith({ byteBudget: 12_000 });
    const body = Buffer.alloc(3_000);
    for (let index = 0; index < 10; index += 1) {
      running(records, nonceOf(index));
      records.answered(nonceOf(index), { ...ANSWER, body }, 0);
    }
    expect(records.stats()).toMatchObject({ records: 10, answersHeld: 3, answersDropped: 7 });
    expect(records.claim(ticketOf(nonceOf(0)), 1)).toMatchObject({ answer: { statusCode: 410 } });
    expect(records.claim(ticketOf(nonceOf(9)), 1)).toMatchObject({ answer: { statusCode: 201 } });

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
    expect(records.stats()).toMatchObject({ records: 0, bytes: 0, answersHeld: 0 });
  });

  it('keeps a ticket refused that was refused for lack of room', () => {
    const records = recordsWith({ byteBudget: 1_000 });
    running(records, nonceOf(1));
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'refused', reason: 'records-full' });
    records.lost(nonceOf(1), 'target-lost', 1);
    expect(records.claim(ticketOf(nonceOf(2)), 1)).toEqual({ kind: 'granted' });
    expect(records.claim(ticketOf(), 1)).toEqual({ kind: 'refused', reason: 'ticket-refused' });
  });

  it('follows its chart: without the transition nothing is handed over', () => {
    const states = { ...callChart.states, claimed: { on: { REFUSE: 'refused' } } };
    const options = { self: SELF, byteBudget: 1e6, maxLifetimeMs: LIFETIME_MS, maxClockSkewMs: 0 };
    const records = new ExecutionRecords(options, new Chart({ ...callChart, states }));
    expect(records.claim(ticketOf(), 0)).toEqual({ kind: 'granted' });
    expect(records.handOver(NONCE, 1)).toBe(false);
  });
});
