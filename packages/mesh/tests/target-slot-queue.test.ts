import { TargetSlotQueue, type SlotRequest } from '@daisyferry/mesh/target-slot-queue';
import { describe, expect, it } from 'vitest';

class SlotRequestStub implements SlotRequest {
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

function submit(
  queue: TargetSlotQueue,
  nowMs: number,
  priority = 0,
  usefulMs = 1_000,
): SlotRequestStub {
  const request = new SlotRequestStub(priority, nowMs + usefulMs, nowMs + 5_000);
  queue.submit(request, nowMs);
  return request;
}

describe('TargetSlotQueue', () => {
  it('starts requests up to its limit and queues the rest', () => {
    const queue = new TargetSlotQueue(2);
    const requests = [submit(queue, 0), submit(queue, 0), submit(queue, 0)];
    expect(requests.map(({ state }) => state)).toEqual(['started', 'started', 'waiting']);
    queue.recordFinished(20, false, 10);
    expect(requests[2]?.state).toBe('started');
  });

  it('starts requests by priority, then in order of arrival', () => {
    const queue = new TargetSlotQueue(1);
    submit(queue, 0);
    const lessUrgent = submit(queue, 0, 2);
    const first = submit(queue, 1, 0);
    const second = submit(queue, 2, 0);
    queue.recordFinished(20, false, 20);
    expect([first.state, second.state, lessUrgent.state]).toEqual([
      'started',
      'waiting',
      'waiting',
    ]);
  });

  it('immediately refuses a request that cannot be served while its response is useful', () => {
    const queue = new TargetSlotQueue(1);
    for (let count = 0; count < 6; count += 1) submit(queue, 0);
    expect(submit(queue, 0, 0, 100).state).toBe('full');
    expect(submit(queue, 0, 0, 1_000).state).toBe('waiting');
  });

  it('refuses a waiting request once more urgent arrivals leave it no time', () => {
    const queue = new TargetSlotQueue(1);
    submit(queue, 0);
    const lessUrgent = submit(queue, 0, 2, 100);
    expect(lessUrgent.state).toBe('waiting');
    for (let count = 0; count < 6; count += 1) submit(queue, 0, 0, 1_000);
    expect(lessUrgent.state).toBe('full');
  });

  it('refuses a waiting request whose deadline passed while the process was paused', () => {
    const queue = new TargetSlotQueue(1);
    submit(queue, 0);
    const expired = submit(queue, 0);
    queue.recordFinished(20, false, 6_000);
    expect(expired.state).toBe('expired');
    expect(queue.running).toBe(0);
  });

  it('refuses all waiting requests when the target leaves', () => {
    const queue = new TargetSlotQueue(1);
    submit(queue, 0);
    const waiting = submit(queue, 0);
    queue.refuseAll('leaving');
    expect(waiting.state).toBe('leaving');
    expect(queue.waitingCount).toBe(0);
  });

  it('starts waiting requests when the limit is raised', () => {
    const queue = new TargetSlotQueue(1);
    submit(queue, 0);
    const waiting = submit(queue, 0);
    queue.setLimit(2, 1);
    expect(waiting.state).toBe('started');
  });
});
