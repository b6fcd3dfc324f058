import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { describe, expect, it } from 'vitest';
import { wait } from '../src/wait';

describe('wait', () => {
  it('ends after its time', async () => {
    const scheduler = new VirtualScheduler();
    const waiting = wait(scheduler, 50, undefined);
    await scheduler.advanceUntilSettled(waiting);
    expect(scheduler.nowMs()).toBe(50);
  });

  it('ends at once when the signal is aborted, and leaves no timer', async () => {
    const scheduler = new VirtualScheduler();
    const controller = new AbortController();
    const waiting = wait(scheduler, 50, controller.signal);
    controller.abort();
    await waiting;
    await wait(scheduler, 50, controller.signal);
    expect(scheduler.nowMs()).toBe(0);
    expect(scheduler.pendingTimers).toBe(0);
  });
});
