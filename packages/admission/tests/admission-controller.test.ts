import { describe, expect, it } from 'vitest';
import { AdmissionController } from '@daisyferry/admission/admission-controller';
import type { AdmissionRequest } from '@daisyferry/admission/admission-controller';

const limits = { queueDelayTargetMs: 20, maxQueueMs: 100, warmUpMs: 1_000 };

function request(callId: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { callId, method: 'quote', rank: 1, rootHash: 0.5, deadlineAtMs: 1_000, ...changes };
}

function controllerWith(slots: number): AdmissionController {
  return new AdmissionController({ slots, limits, random: () => 0.5 }, 0);
}

describe('AdmissionController', () => {
  it('admits up to the slots, queues the next call and admits it when a slot is free', () => {
    const controller = controllerWith(1);
    expect(controller.offer(request('a'), 0)).toEqual([
      { kind: 'admitted', callId: 'a', queuedMs: 0 },
    ]);
    expect(controller.offer(request('b'), 1)).toEqual([]);
    expect(controller.load()).toBe(2);
    expect(controller.finish('a', { kind: 'completed' }, 11)).toEqual([
      { kind: 'admitted', callId: 'b', queuedMs: 10 },
    ]);
  });

  it('refuses a queued call at the bound of the queue time', () => {
    const controller = controllerWith(1);
    controller.offer(request('a'), 0);
    controller.offer(request('b'), 0);
    expect(controller.nextWakeAtMs()).toBe(100);
    expect(controller.tick(99)).toEqual([]);
    expect(controller.tick(100)).toMatchObject([
      { kind: 'refused', callId: 'b', refusal: { outcome: 'not-run', reason: 'queue-full' } },
    ]);
    expect(controller.nextWakeAtMs()).toBeUndefined();
  });

  it('frees the queue place and the slot of callers that are gone', () => {
    const controller = controllerWith(1);
    controller.offer(request('a'), 0);
    controller.offer(request('b'), 0);
    controller.offer(request('c', { rank: 0 }), 0);
    expect(controller.cancel('b', 1)).toMatchObject([
      { callId: 'b', refusal: { reason: 'caller-gone' } },
    ]);
    expect(controller.cancel('a', 2)).toMatchObject([{ kind: 'admitted', callId: 'c' }]);
  });
});
