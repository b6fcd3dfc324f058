import { describe, expect, it } from 'vitest';
import type { CallReply } from '../src/forwarded-call';
import { ExecutionRecordRegistry } from '../src/execution-record-registry';

const REPLY: CallReply = {
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

function ignoreReply(): void {}

describe('ExecutionLedger', () => {
  it('bars an attempt whose outcome is queried before it arrives', () => {
    const ledger = new ExecutionRecordRegistry();
    expect(ledger.resolve('r', 0).state).toBe('barred');
    const late = ledger.open('r', ignoreReply, 1);
    expect(late.kind).toBe('present');
    expect(late.record.transition('HAND_OVER')).toBe(false);
  });

  it('allows an attempt to be handed over only once', () => {
    const ledger = new ExecutionRecordRegistry();
    const { record } = ledger.open('r', ignoreReply, 0);
    expect(record.transition('HAND_OVER')).toBe(true);
    expect(record.transition('HAND_OVER')).toBe(false);
    expect(record.transition('REFUSE')).toBe(false);
  });

  it('sends the reply over the connection that queried it last and retains it for a while', () => {
    const ledger = new ExecutionRecordRegistry();
    const receivers: string[] = [];
    const { record } = ledger.open('r', () => receivers.push('first'), 0);
    record.transition('HAND_OVER');
    ledger.resolve('r', 1).redirectReply(() => receivers.push('second'));
    ledger.settle(record, 'ANSWER', REPLY, 2);
    expect(receivers).toEqual(['second']);
    expect(ledger.resolve('r', 3).reply).toBe(REPLY);
    ledger.sweep(6_000);
    expect(ledger.resolve('r', 6_000).reply).toBeUndefined();
    expect(ledger.resolve('r', 6_000).state).toBe('finished');
  });

  it('removes settled attempts after a minute but never a running one', () => {
    const ledger = new ExecutionRecordRegistry();
    const { record } = ledger.open('settled', ignoreReply, 0);
    record.transition('REFUSE');
    ledger.open('running', ignoreReply, 0).record.transition('HAND_OVER');
    ledger.sweep(59_000);
    expect(ledger.size).toBe(2);
    ledger.sweep(60_000);
    expect(ledger.size).toBe(1);
  });
});
