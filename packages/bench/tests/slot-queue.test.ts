import { describe, expect, it } from 'vitest';
import { SlotQueue } from '../src/slot-queue';

describe('SlotQueue', () => {
  it('grants in order of arrival and never more than its slots', async () => {
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
    expect([queue.inUse, queue.queued]).toEqual([1, 2]);
    first?.release();
    first?.release();
    (await second)?.release();
    (await third)?.release();
    expect(order).toEqual(['second', 'third']);
    expect([queue.inUse, queue.queued]).toEqual([0, 0]);
  });

  it('lets a waiting call leave', async () => {
    const queue = new SlotQueue(1, 1);
    const held = await queue.acquire(new AbortController().signal);
    const caller = new AbortController();
    const waiting = queue.acquire(caller.signal);
    expect(queue.full).toBe(true);
    caller.abort();
    expect(await waiting).toBeUndefined();
    expect([queue.full, queue.queued]).toEqual([false, 0]);
    held?.release();
    expect(queue.inUse).toBe(0);
  });
});
