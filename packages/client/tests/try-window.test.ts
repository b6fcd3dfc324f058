import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { describe, expect, it } from 'vitest';
import { TryWindow } from '../src/try-window';

describe('try window', () => {
  it('ends a little after the deadline, so that the daemon can say so first', async () => {
    const scheduler = new VirtualScheduler();
    const window = new TryWindow(scheduler, 1_000, undefined);
    await scheduler.advance(1_050);
    expect(window.signal.aborted).toBe(false);
    await scheduler.advance(50);
    expect(window.signal.aborted).toBe(true);
    expect(window.timedOut).toBe(true);
  });

  it('leaves no timer behind', () => {
    const scheduler = new VirtualScheduler();
    new TryWindow(scheduler, 1_000, new AbortController().signal).end();
    expect(scheduler.pendingTimers).toBe(0);
  });
});
