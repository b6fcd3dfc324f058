import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ExecutionRecords } from '../src/execution-records';
import { mintTicket, type Ticket } from '../src/ticket';
import { TicketAccount } from './ticket-account';

const SEED = 4;
const LIFETIME_MS = 1_000;
const SELF = { name: 'bid-desk-1', incarnation: '00000000000000aa' };
const NONCES = ['a', 'b', 'c', 'd'].map((letter) => letter.repeat(32));

type StepKind =
  'claim' | 'handOver' | 'refuse' | 'answer' | 'answerLarge' | 'lose' | 'shed' | 'sweep';

interface Step {
  readonly kind: StepKind;
  readonly call: number;
  readonly stepMs: number;
}

const kinds: fc.Arbitrary<StepKind> = fc.oneof(
  { weight: 2, arbitrary: fc.constantFrom<StepKind>('claim', 'handOver') },
  {
    weight: 1,
    arbitrary: fc.constantFrom<StepKind>(
      'refuse',
      'answer',
      'answerLarge',
      'lose',
      'shed',
      'sweep',
    ),
  },
);

const step: fc.Arbitrary<Step> = fc.record({
  kind: kinds,
  call: fc.nat({ max: NONCES.length - 1 }),
  // Clocks that step back must do no harm either.
  stepMs: fc.oneof(
    { weight: 4, arbitrary: fc.constant(0) },
    { weight: 1, arbitrary: fc.integer({ min: -1_500, max: 600 }) },
  ),
});

class Session {
  private readonly records: ExecutionRecords;

  private readonly accounts = NONCES.map(() => new TicketAccount());

  private readonly tickets: readonly Ticket[];

  nowMs = 0;

  constructor(byteBudget: number, lifetimes: readonly number[]) {
    this.records = new ExecutionRecords({
      self: SELF,
      byteBudget,
      maxLifetimeMs: LIFETIME_MS,
      maxClockSkewMs: 0,
    });
    this.tickets = NONCES.map((nonce, index) => mintTicket(SELF, lifetimes[index] ?? 0, nonce, 0));
  }

  apply({ kind, call, stepMs }: Step): void {
    this.nowMs += stepMs;
    const nonce = NONCES[call] ?? '';
    const account = this.accounts[call];
    const ticket = this.tickets[call];
    if (account === undefined || ticket === undefined) return;
    const { records, nowMs } = this;
    switch (kind) {
      case 'claim':
        account.told(records.claim(ticket, nowMs));
        if (records.stats().inProgress > 0)
          records.onSettled(nonce, (claim) => account.told(claim));
        return;
      case 'handOver':
        if (records.handOver(nonce, nowMs)) account.handedOver();
        return;
      case 'refuse':
        if (records.refuse(nonce, 'caller-gone', nowMs)) {
          account.told({ kind: 'refused', reason: 'caller-gone' });
        }
        return;
      case 'answer':
      case 'answerLarge':
        this.answer(nonce, kind === 'answer' ? 10 : 2_000);
        return;
      case 'lose':
        records.lost(nonce, 'target-lost', nowMs);
        return;
      case 'shed':
        account.shedByTarget = true;
        records.targetShed(nonce, nowMs);
        return;
      case 'sweep':
        records.sweep(nowMs);
        return;
      default:
        throw new Error(`no such step: ${String(kind satisfies never)}`);
    }
  }

  finish(): void {
    for (const nonce of NONCES) this.records.lost(nonce, 'home-lost', this.nowMs);
    this.records.sweep(this.nowMs + 100 * LIFETIME_MS);
    expect(this.records.stats()).toMatchObject({ records: 0, inProgress: 0, bytes: 0 });
  }

  private answer(nonce: string, lengthBytes: number): void {
    const body = Buffer.alloc(lengthBytes);
    const answer = { statusCode: 200, headers: [], body, outcome: 'completed' } as const;
    this.records.answered(nonce, answer, this.nowMs);
    expect(this.records.stats().bytes).toBeLessThanOrEqual(6_000);
  }
}

describe('at most once', () => {
  it('hands a ticket over at most once, and none after it was told not run', () => {
    const session = fc.record({
      byteBudget: fc.constantFrom(100, 800, 1_600, 6_000),
      lifetimes: fc.array(fc.integer({ min: 1, max: 2_500 }), { minLength: 4, maxLength: 4 }),
      steps: fc.array(step, { maxLength: 60 }),
    });
    fc.assert(
      fc.property(session, ({ byteBudget, lifetimes, steps }) => {
        const run = new Session(byteBudget, lifetimes);
        steps.forEach((each) => run.apply(each));
        run.finish();
      }),
      { seed: SEED, numRuns: 4_000 },
    );
  });
});
