import type { CallReply } from '@daisyferry/mesh/call';
import { ExecutionLedger } from '@daisyferry/mesh/execution-ledger';
import { describe, expect, it } from 'vitest';

const ANSWER: CallReply = {
  outcome: {
    kind: 'answered',
    status: 200,
    reason: 'OK',
    fields: [],
    body: Buffer.from('done'),
    endsWithConnection: false,
  },
  load: undefined,
};

function ignore(): void {}

describe('ExecutionLedger', () => {
  it('bars an attempt that is asked about before it came', () => {
    const ledger = new ExecutionLedger();
    expect(ledger.resolve('r', 0).state).toBe('barred');
    const late = ledger.open('r', ignore, 1);
    expect(late.kind).toBe('present');
    expect(late.record.step('HAND_OVER')).toBe(false);
  });

  it('lets an attempt be handed over once only', () => {
    const ledger = new ExecutionLedger();
    const { record } = ledger.open('r', ignore, 0);
    expect(record.step('HAND_OVER')).toBe(true);
    expect(record.step('HAND_OVER')).toBe(false);
    expect(record.step('REFUSE')).toBe(false);
  });

  it('sends the reply to the connection that asked last, and keeps it for a while', () => {
    const ledger = new ExecutionLedger();
    const got: string[] = [];
    const { record } = ledger.open('r', () => got.push('first'), 0);
    record.step('HAND_OVER');
    ledger.resolve('r', 1).redirect(() => got.push('second'));
    ledger.settle(record, 'ANSWER', ANSWER, 2);
    expect(got).toEqual(['second']);
    expect(ledger.resolve('r', 3).reply).toBe(ANSWER);
    ledger.sweep(6_000);
    expect(ledger.resolve('r', 6_000).reply).toBeUndefined();
    expect(ledger.resolve('r', 6_000).state).toBe('finished');
  });

  it('forgets settled attempts after a minute, never one that runs', () => {
    const ledger = new ExecutionLedger();
    const { record } = ledger.open('settled', ignore, 0);
    record.step('REFUSE');
    ledger.open('running', ignore, 0).record.step('HAND_OVER');
    ledger.sweep(59_000);
    expect(ledger.size).toBe(2);
    ledger.sweep(60_000);
    expect(ledger.size).toBe(1);
  });
});
