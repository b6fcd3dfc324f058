import { describe, expect, it } from 'vitest';
import { AdmissionController } from '@daisyferry/admission/admission-controller';
import type {
  AdmissionOptions,
  AdmissionRequest,
} from '@daisyferry/admission/admission-controller';
import { AdmissionError } from '@daisyferry/admission/admission-error';

const limits = { queueDelayTargetMs: 20, maxQueueMs: 100, warmUpMs: 1_000 };

function request(callId: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { callId, method: 'quote', rank: 1, rootHash: 0.5, deadlineAtMs: 60_000, ...changes };
}

function controllerWith(slots: number, options: Partial<AdmissionOptions> = {}) {
  return new AdmissionController({ slots, limits, random: () => 0.5, ...options }, 0);
}

/** Serves calls sequentially, so that the service time is known; returns the end time. */
function serveSequentially(
  controller: AdmissionController,
  calls: number,
  serviceMs: number,
  startMs = 0,
) {
  for (let call = 0; call < calls; call++) {
    const atMs = startMs + call * serviceMs;
    controller.offer(request(`warm-${atMs}`), atMs);
    controller.finish(`warm-${atMs}`, { kind: 'completed' }, atMs + serviceMs);
  }
  return startMs + calls * serviceMs;
}

function idsOf(decisions: readonly { readonly callId: string }[]): readonly string[] {
  return decisions.map(({ callId }) => callId);
}

describe('AdmissionController', () => {
  it('admits a call for each slot, queues the next one and admits it when a slot is free', () => {
    const controller = controllerWith(1);
    expect(controller.offer(request('a'), 0)).toEqual([
      { kind: 'admitted', callId: 'a', queuedMs: 0 },
    ]);
    expect(controller.offer(request('b'), 1)).toEqual([]);
    expect(controller.load()).toBe(2);
    expect(controller.finish('a', { kind: 'completed' }, 11)).toEqual([
      { kind: 'admitted', callId: 'b', queuedMs: 10 },
    ]);
    expect(controller.finish('a', { kind: 'completed' }, 11)).toEqual([]);
    expect(controller.snapshot(11)).toMatchObject({ inFlight: 1, queued: 0, admitted: 2 });
  });

  it('refuses a queued call after the maximum queueing time', () => {
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

  it('releases the queue entry and the slot of callers that disconnected', () => {
    const controller = controllerWith(1);
    controller.offer(request('a'), 0);
    controller.offer(request('b'), 0);
    controller.offer(request('c', { rank: 0 }), 0);
    expect(controller.cancel('b', 1)).toMatchObject([
      { callId: 'b', refusal: { reason: 'caller-gone' } },
    ]);
    expect(controller.cancel('a', 2)).toMatchObject([{ kind: 'admitted', callId: 'c' }]);
    expect(controller.cancel('a', 3)).toEqual([]);
  });

  it('throws on a second unfinished call with the same identifier', () => {
    const controller = controllerWith(1);
    controller.offer(request('a'), 0);
    expect(() => controller.offer(request('a'), 1)).toThrow(AdmissionError);
  });

  it('serves the most critical class first regardless of the order of arrival', () => {
    const controller = controllerWith(1);
    controller.offer(request('running'), 0);
    for (const rank of [3, 2, 1, 0] as const) controller.offer(request(`r${rank}`, { rank }), 0);
    const served: string[] = [];
    for (let last = 'running', atMs = 1; last !== ''; atMs++) {
      last = idsOf(controller.finish(last, { kind: 'completed' }, atMs))[0] ?? '';
      served.push(last);
    }
    expect(served).toEqual(['r0', 'r1', 'r2', 'r3', '']);
  });

  it('serves the newest call first while the delay exceeds its target, else the oldest', () => {
    const controller = controllerWith(1);
    const startMs = serveSequentially(controller, 20, 10);
    const ids = ['running', 'q1', 'q2', 'q3'];
    for (const id of ids) controller.offer(request(id), startMs);
    expect(idsOf(controller.finish('running', { kind: 'completed' }, startMs + 10))).toEqual([
      'q3',
    ]);
    expect(idsOf(controller.finish('q3', { kind: 'completed' }, startMs + 20))).toEqual(['q1']);
  });

  it('refuses a call that cannot finish in time, and a queued call once it no longer can', () => {
    const controller = controllerWith(1);
    const startMs = serveSequentially(controller, 100, 10);
    const lowQuantileMs = controller.lowServiceQuantileMs('quote') ?? 0;
    expect(lowQuantileMs).toBeGreaterThan(8);
    expect(lowQuantileMs).toBeLessThan(10.5);
    expect(controller.offer(request('late', { deadlineAtMs: startMs + 5 }), startMs)).toMatchObject(
      [{ callId: 'late', refusal: { reason: 'doomed' } }],
    );
    controller.offer(request('running'), startMs);
    controller.offer(request('tight', { deadlineAtMs: startMs + 30 }), startMs);
    expect(controller.nextWakeAtMs()).toBeCloseTo(startMs + 30 - lowQuantileMs);
    expect(controller.tick(startMs + 23)).toMatchObject([
      { callId: 'tight', refusal: { reason: 'doomed' } },
    ]);
  });

  it('queues a doomed call until its deadline when the mechanism is switched off', () => {
    const controller = controllerWith(1, { disabled: new Set(['doomed']) });
    const startMs = serveSequentially(controller, 100, 10);
    controller.offer(request('running'), startMs);
    expect(controller.offer(request('late', { deadlineAtMs: startMs + 5 }), startMs)).toEqual([]);
    expect(controller.tick(startMs + 5)).toMatchObject([
      { callId: 'late', refusal: { reason: 'deadline-passed' } },
    ]);
  });

  it('evicts the least critical call from a full queue, but never a money call', () => {
    const controller = controllerWith(1);
    const startMs = serveSequentially(controller, 100, 25);
    controller.offer(request('running'), startMs);
    const fill = ['f1', 'f2', 'f3', 'f4'];
    for (const id of fill) controller.offer(request(id, { rank: 2 }), startMs);
    const evicted = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'].map((id) =>
      idsOf(controller.offer(request(id, { rank: 0 }), startMs)),
    );
    expect(evicted.flat().toSorted()).toEqual(fill);
    expect(controller.offer(request('more', { rank: 1 }), startMs)).toMatchObject([
      { callId: 'more', refusal: { reason: 'queue-full' } },
    ]);
  });

  it('prefers the call whose caller is more likely to be waiting still', () => {
    const controller = controllerWith(1);
    let atMs = serveSequentially(controller, 20, 10);
    for (let call = 0; call < 64; call++, atMs += 30) {
      controller.offer(request(`impatient-${call}`, { method: 'impatient' }), atMs);
      controller.finish(`impatient-${call}`, { kind: 'abandoned' }, atMs + 15);
    }
    atMs = serveSequentially(controller, 64, 10, atMs);
    controller.offer(request('running'), atMs);
    controller.offer(request('impatient', { method: 'impatient' }), atMs);
    controller.offer(request('patient'), atMs);
    expect(idsOf(controller.finish('running', { kind: 'completed' }, atMs + 14))).toEqual([
      'patient',
    ]);
  });

  it('ramps up the limit of a cold target and applies a changed number of slots', () => {
    const controller = controllerWith(100);
    controller.beginWarmUp(0);
    const limitAt = (atMs: number) => controller.snapshot(atMs).limit;
    expect([0, 500, 1_000].map(limitAt)).toEqual([10, 55, 100]);
    controller.configure(limits, 40, 1_000);
    expect(limitAt(1_000)).toBe(40);
    const withoutWarmUp = controllerWith(100, { disabled: new Set(['warmUp']) });
    withoutWarmUp.beginWarmUp(0);
    expect(withoutWarmUp.snapshot(0).limit).toBe(100);
  });

  it('excludes calls that never reached the target from the mean occupancy', () => {
    const controller = controllerWith(1);
    const startMs = serveSequentially(controller, 100, 25);
    const before = controller.snapshot(startMs).meanOccupancyMs;
    for (let call = 0; call < 100; call++) {
      controller.offer(request(`n${call}`), startMs);
      controller.finish(`n${call}`, { kind: 'notSent' }, startMs);
    }
    expect(controller.snapshot(startMs)).toMatchObject({ meanOccupancyMs: before, inFlight: 0 });
  });

  it('returns a longer retry delay for a longer backlog', () => {
    const controller = controllerWith(1);
    const startMs = serveSequentially(controller, 100, 25);
    controller.offer(request('running'), startMs);
    const retryAfterMs = (id: string): number => {
      const [decision] = controller.offer(request(id, { deadlineAtMs: startMs + 1 }), startMs);
      return decision?.kind === 'refused' ? decision.refusal.retryAfterMs : Number.NaN;
    };
    const first = retryAfterMs('x1');
    controller.offer(request('q1'), startMs);
    controller.offer(request('q2'), startMs);
    expect(retryAfterMs('x2')).toBeGreaterThan(first + 40);
  });
});
