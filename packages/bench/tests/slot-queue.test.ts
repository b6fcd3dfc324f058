import { describe, expect, it } from 'vitest';
import { SlotQueue } from '../src/slot-queue';

describe('SlotQueue', () => {
  it('grants slots in order of arrival and never more than its limit', async () => {
    const queue = new SlotQueue(1, 10);
    const { signal } = new AbortController();
    const order: string[] = [];
    const first = await queue.acquire(signal);
    const second = queue.acquire(signal).then((lease) => {
      order.push('second');
      return lease;
    });
    const third = queue.acquire(signal).then((lease) => {
      order.push('third');
      return lease;
    });
    expect([queue.inUseCount, queue.waitingCount]).toEqual([1, 2]);
    first?.release();
    first?.release();
    (await second)?.release();
    (await third)?.release();
    expect(order).toEqual(['second', 'third']);
    expect([queue.inUseCount, queue.waitingCount]).toEqual([0, 0]);
  });

  it('removes a waiting call when its signal aborts', async () => {
    const queue = new SlotQueue(1, 1);
    const lease = await queue.acquire(new AbortController().signal);
    const caller = new AbortController();
    const waiting = queue.acquire(caller.signal);
    expect(queue.isFull).toBe(true);
    caller.abort();
    expect(await waiting).toBeUndefined();
    expect([queue.isFull, queue.waitingCount]).toEqual([false, 0]);
    lease?.release();
    expect(queue.inUseCount).toBe(0);
  });
});
