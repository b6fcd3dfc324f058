import { ExecutionRecordRegistry } from '@daisyferry/mesh/execution-record-registry';
import type { Attempt, CallReply } from '@daisyferry/mesh/forwarded-call';
import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';

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

function attempt(requestId: string): Attempt {
  return { requestId, attemptKey: 'entry/1' };
}

function ignoreReply(): void {}

describe('ExecutionRecordRegistry', () => {
  it('bars an attempt whose outcome is queried before it arrives', () => {
    const registry = new ExecutionRecordRegistry();
    expect(registry.resolve(attempt('r'), 0).state).toBe('barred');
    const late = registry.open(attempt('r'), ignoreReply, 1);
    expect(late.kind).toBe('present');
    expect(late.record.transition('HAND_OVER')).toBe(false);
  });

  it('allows an attempt to be sent to the target only once', () => {
    const registry = new ExecutionRecordRegistry();
    const { record } = registry.open(attempt('r'), ignoreReply, 0);
    expect(record.transition('HAND_OVER')).toBe(true);
    expect(record.transition('HAND_OVER')).toBe(false);
    expect(record.transition('REFUSE')).toBe(false);
  });

  it('tells the attempts of two entries with the same id apart, but not those of old builds', () => {
    const registry = new ExecutionRecordRegistry();
    const { record } = registry.open(attempt('r'), ignoreReply, 0);
    expect(record.isOf(attempt('r'))).toBe(true);
    expect(record.isOf({ requestId: 'r', attemptKey: 'other/1' })).toBe(false);
    expect(record.isOf({ requestId: 'r', attemptKey: undefined })).toBe(true);
  });

  it('sends the reply over the connection that queried last and retains it for a while', () => {
    const registry = new ExecutionRecordRegistry();
    const receivers: string[] = [];
    const { record } = registry.open(attempt('r'), () => receivers.push('first'), 0);
    record.transition('HAND_OVER');
    registry.resolve(attempt('r'), 1).redirectReply(() => receivers.push('second'));
    registry.settle(record, 'ANSWER', REPLY, 2);
    expect(receivers).toEqual(['second']);
    expect(registry.resolve(attempt('r'), 3).reply).toBe(REPLY);
    registry.sweep(6_000);
    expect(registry.resolve(attempt('r'), 6_000).reply).toBeUndefined();
    expect(registry.resolve(attempt('r'), 6_000).state).toBe('finished');
  });

  it('removes settled attempts after a minute but never a running one', () => {
    const registry = new ExecutionRecordRegistry();
    const { record } = registry.open(attempt('settled'), ignoreReply, 0);
    record.transition('REFUSE');
    registry.open(attempt('running'), ignoreReply, 0).record.transition('HAND_OVER');
    registry.sweep(59_000);
    expect(registry.size).toBe(2);
    registry.sweep(60_000);
    expect(registry.size).toBe(1);
  });

  it('keeps no call in memory for as long as its record', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const registry = new ExecutionRecordRegistry();
    const open = () => {
      const call = { ...attempt('r'), fields: ['Cookie', 'c'] };
      registry.settle(registry.open(call, ignoreReply, 0).record, 'REFUSE', REPLY, 0);
      return new WeakRef(call);
    };
    const call = open();
    await setImmediate();
    collectGarbage();
    expect(registry.size).toBe(1);
    expect(call.deref()).toBeUndefined();
  });

  it('remembers long ids by digests of a bounded length', () => {
    const registry = new ExecutionRecordRegistry();
    const long = 'x'.repeat(16_000);
    const { record } = registry.open(attempt(long), ignoreReply, 0);
    expect(record.key.length).toBeLessThan(129);
    expect(record.isOf(attempt(long))).toBe(true);
    expect(record.isOf(attempt(`${long}y`))).toBe(false);
    expect(registry.open(attempt(long), ignoreReply, 0).kind).toBe('present');
    expect(registry.open(attempt(`${long}y`), ignoreReply, 0).kind).toBe('opened');
  });

  it('bounds the memory of retained replies with their header fields', () => {
    const registry = new ExecutionRecordRegistry();
    const fields = ['X-Large', 'x'.repeat(60_000)];
    const outcome = { ...REPLY.outcome, fields } as CallReply['outcome'];
    const records = Array.from({ length: 1_000 }, (_, index) => {
      const { record } = registry.open(attempt(`r${index}`), ignoreReply, 0);
      record.transition('HAND_OVER');
      registry.settle(record, 'ANSWER', { ...REPLY, outcome }, 0);
      return record;
    });
    const retained = records.filter(({ reply }) => reply !== undefined);
    expect(retained.length).toBeGreaterThan(100);
    expect(retained.length).toBeLessThan(300);
  });
});
