import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ExecutionRecords } from '../src/execution-records';
import { mintTicket, type Ticket } from '../src/ticket';
import { TicketHistory } from './ticket-history';

const SEED = 4;
const LIFETIME_MS = 1_000;
const SELF = { name: 'bid-desk-1', incarnation: '00000000000000aa' };
const NONCES = ['a', 'b', 'c', 'd'].map((letter) => letter.repeat(32));

type StepKind =
  'claim' | 'handOver' | 'refuse' | 'respond' | 'respondLarge' | 'lose' | 'shed' | 'sweep';

interface Step {
  readonly kind: StepKind;
  readonly ticketIndex: number;
  readonly stepMs: number;
}

const stepKinds: fc.Arbitrary<StepKind> = fc.oneof(
  { weight: 2, arbitrary: fc.constantFrom<StepKind>('claim', 'handOver') },
  {
    weight: 1,
    arbitrary: fc.constantFrom<StepKind>(
      'refuse',
      'respond',
      'respondLarge',
      'lose',
      'shed',
      'sweep',
    ),
  },
);

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: stepKinds,
  ticketIndex: fc.nat({ max: NONCES.length - 1 }),
  // The rules must hold for a clock that steps back, too.
  stepMs: fc.oneof(
    { weight: 4, arbitrary: fc.constant(0) },
    { weight: 1, arbitrary: fc.integer({ min: -1_500, max: 600 }) },
  ),
});

class RecordsModel {
  private readonly records: ExecutionRecords;

  private readonly histories = NONCES.map(() => new TicketHistory());

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

  apply({ kind, ticketIndex, stepMs }: Step): void {
    this.nowMs += stepMs;
    const nonce = NONCES[ticketIndex] ?? '';
    const history = this.histories[ticketIndex];
    const ticket = this.tickets[ticketIndex];
    if (history === undefined || ticket === undefined) return;
    const { records, nowMs } = this;
    switch (kind) {
      case 'claim':
        history.recordClaim(records.claim(ticket, nowMs));
        if (records.stats().inProgress > 0)
          records.onSettled(nonce, (claim) => history.recordClaim(claim));
        return;
      case 'handOver':
        if (records.handOver(nonce, nowMs)) history.recordHandOver();
        return;
      case 'refuse':
        if (records.refuse(nonce, 'caller-gone', nowMs)) {
          history.recordClaim({ kind: 'refused', reason: 'caller-gone' });
        }
        return;
      case 'respond':
      case 'respondLarge':
        this.recordResponse(nonce, kind === 'respond' ? 10 : 2_000);
        return;
      case 'lose':
        records.lost(nonce, 'target-lost', nowMs);
        return;
      case 'shed':
        history.shedByTarget = true;
        records.targetShed(nonce, nowMs);
        return;
      case 'sweep':
        records.sweep(nowMs);
        return;
      default:
        throw new Error(`unknown step ${String(kind satisfies never)}`);
    }
  }

  finish(): void {
    for (const nonce of NONCES) this.records.lost(nonce, 'home-lost', this.nowMs);
    this.records.sweep(this.nowMs + 100 * LIFETIME_MS);
    expect(this.records.stats()).toMatchObject({ records: 0, inProgress: 0, bytes: 0 });
  }

  private recordResponse(nonce: string, lengthBytes: number): void {
    const body = Buffer.alloc(lengthBytes);
    const response = { statusCode: 200, headers: [], body, outcome: 'completed' } as const;
    this.records.answered(nonce, response, this.nowMs);
    expect(this.records.stats().bytes).toBeLessThanOrEqual(6_000);
  }
}

describe('ExecutionRecords under arbitrary sequences of steps', () => {
  it('hands a ticket over at most once, and never after it was reported as not run', () => {
    const sessions = fc.record({
      byteBudget: fc.constantFrom(100, 800, 1_600, 6_000),
      lifetimes: fc.array(fc.integer({ min: 1, max: 2_500 }), { minLength: 4, maxLength: 4 }),
      steps: fc.array(stepArbitrary, { maxLength: 60 }),
    });
    fc.assert(
      fc.property(sessions, ({ byteBudget, lifetimes, steps }) => {
        const model = new RecordsModel(byteBudget, lifetimes);
        steps.forEach((each) => model.apply(each));
        model.finish();
      }),
      { seed: SEED, numRuns: 4_000 },
    );
  });
});
