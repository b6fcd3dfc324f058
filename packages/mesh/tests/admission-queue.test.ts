import { AdmissionQueue, type SlotRequest } from '@daisyferry/mesh/admission-queue';
import { describe, expect, it } from 'vitest';

class FakeRequest implements SlotRequest {
  state = 'waiting';

  constructor(
    readonly priority: number,
    readonly usefulUntilMs: number,
    readonly deadlineMs: number,
  ) {}

  start(): void {
    this.state = 'started';
  }

  refuse(reason: string): void {
    this.state = reason;
  }
}

function submit(queue: AdmissionQueue, nowMs: number, priority = 0, usefulMs = 1_000): FakeRequest {
  const request = new FakeRequest(priority, nowMs + usefulMs, nowMs + 5_000);
  queue.submit(request, nowMs);
  return request;
}

describe('AdmissionQueue', () => {
  it('starts up to its limit and lets the rest wait', () => {
    const queue = new AdmissionQueue(2);
    const requests = [submit(queue, 0), submit(queue, 0), submit(queue, 0)];
    expect(requests.map(({ state }) => state)).toEqual(['started', 'started', 'waiting']);
    queue.finished(20, false, 10);
    expect(requests[2]?.state).toBe('started');
  });

  it('starts the more urgent first, and equals in order of arrival', () => {
    const queue = new AdmissionQueue(1);
    submit(queue, 0);
    const browse = submit(queue, 0, 2);
    const first = submit(queue, 1, 0);
    const second = submit(queue, 2, 0);
    queue.finished(20, false, 20);
    expect([first.state, second.state, browse.state]).toEqual(['started', 'waiting', 'waiting']);
  });

  it('refuses at once what cannot be served while its answer is of use', () => {
    const queue = new AdmissionQueue(1);
    for (let count = 0; count < 6; count += 1) submit(queue, 0);
    expect(submit(queue, 0, 0, 100).state).toBe('full');
    expect(submit(queue, 0, 0, 1_000).state).toBe('waiting');
  });

  it('refuses the less urgent once urgent arrivals leave it no time', () => {
    const queue = new AdmissionQueue(1);
    submit(queue, 0);
    const browse = submit(queue, 0, 2, 100);
    expect(browse.state).toBe('waiting');
    for (let count = 0; count < 6; count += 1) submit(queue, 0, 0, 1_000);
    expect(browse.state).toBe('full');
  });

  it('does not start a request whose deadline passed while the process was paused', () => {
    const queue = new AdmissionQueue(1);
    submit(queue, 0);
    const stale = submit(queue, 0);
    queue.finished(20, false, 6_000);
    expect(stale.state).toBe('expired');
    expect(queue.running).toBe(0);
  });

  it('turns all waiting requests away when the target leaves', () => {
    const queue = new AdmissionQueue(1);
    submit(queue, 0);
    const waiting = submit(queue, 0);
    queue.refuseAll('leaving');
    expect(waiting.state).toBe('leaving');
    expect(queue.waitingCount).toBe(0);
  });

  it('starts what waits when the limit rises', () => {
    const queue = new AdmissionQueue(1);
    submit(queue, 0);
    const waiting = submit(queue, 0);
    queue.setLimit(2, 1);
    expect(waiting.state).toBe('started');
  });
});
