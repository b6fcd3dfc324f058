import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { describe, expect, it } from 'vitest';
import { RequestTimeout } from '../src/request-timeout';

describe('AttemptTimeout', () => {
  it('aborts shortly after the deadline so that the daemon can report it first', async () => {
    const scheduler = new VirtualScheduler();
    const timeout = new RequestTimeout(scheduler, 1_000, undefined);
    await scheduler.advance(1_050);
    expect(timeout.signal.aborted).toBe(false);
    await scheduler.advance(50);
    expect(timeout.signal.aborted).toBe(true);
    expect(timeout.timedOut).toBe(true);
  });

  it('cancels its timer when disposed', () => {
    const scheduler = new VirtualScheduler();
    new RequestTimeout(scheduler, 1_000, new AbortController().signal).dispose();
    expect(scheduler.pendingTimers).toBe(0);
  });
});
