import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { describe, expect, it } from 'vitest';
import { delay } from '../src/delay';

describe('delay', () => {
  it('resolves after the delay', async () => {
    const scheduler = new VirtualScheduler();
    const waiting = delay(scheduler, 50, undefined);
    await scheduler.advanceUntilSettled(waiting);
    expect(scheduler.nowMs()).toBe(50);
  });

  it('resolves immediately when the signal is aborted and cancels its timer', async () => {
    const scheduler = new VirtualScheduler();
    const controller = new AbortController();
    const waiting = delay(scheduler, 50, controller.signal);
    controller.abort();
    await waiting;
    await delay(scheduler, 50, controller.signal);
    expect(scheduler.nowMs()).toBe(0);
    expect(scheduler.pendingTimers).toBe(0);
  });
});
