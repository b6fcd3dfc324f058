import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AdmissionController } from '@daisyferry/admission/admission-controller';
import type { AdmissionDecision } from '@daisyferry/admission/admission-controller';
import type { CallClassRank } from '@daisyferry/model/call-class';

const SEED = 20_261;
const SLOTS = 4;
const limits = { queueDelayTargetMs: 5, maxQueueMs: 40, warmUpMs: 50 };

type Step =
  | { readonly kind: 'offer'; readonly rank: CallClassRank; readonly budgetMs: number }
  | { readonly kind: 'finish'; readonly pick: number; readonly report: 0 | 1 | 2 | 3 }
  | { readonly kind: 'cancel'; readonly pick: number }
  | { readonly kind: 'tick' | 'warmUp' | 'configure' };

const KINDS = ['completed', 'failed', 'shedByTarget', 'abandoned'] as const;

const step: fc.Arbitrary<readonly [number, Step]> = fc.tuple(
  fc.integer({ min: 0, max: 15 }),
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('offer' as const),
        rank: fc.constantFrom<CallClassRank>(0, 1, 2, 3),
        budgetMs: fc.integer({ min: -1, max: 80 }),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('finish' as const),
        pick: fc.nat(),
        report: fc.constantFrom(0 as const, 1 as const, 2 as const, 3 as const),
      }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat() }) },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constantFrom('tick' as const, 'warmUp' as const, 'configure' as const),
      }),
    },
  ),
);

/** Applies steps to a controller and checks it against a model of every call. */
class AdmissionModel {
  readonly controller: AdmissionController;

  readonly offered = new Set<string>();

  readonly decided = new Map<string, AdmissionDecision['kind']>();

  readonly running = new Set<string>();

  nowMs = 0;

  constructor(disabled: readonly string[]) {
    const options = { slots: SLOTS, limits, random: () => 0.5, disabled: new Set(disabled) };
    this.controller = new AdmissionController(options, 0);
  }

  apply(afterMs: number, action: Step): void {
    this.nowMs += afterMs;
    const { controller, nowMs } = this;
    switch (action.kind) {
      case 'offer': {
        const callId = `c${this.offered.size}`;
        this.offered.add(callId);
        const { rank, budgetMs } = action;
        const rootHash = (this.offered.size * 0.618) % 1;
        const deadlineAtMs = nowMs + budgetMs;
        this.recordDecisions(
          controller.offer({ callId, method: 'm', rank, rootHash, deadlineAtMs }, nowMs),
        );
        break;
      }
      case 'finish': {
        const callId = [...this.running][action.pick % Math.max(1, this.running.size)];
        if (callId === undefined) break;
        this.running.delete(callId);
        this.recordDecisions(controller.finish(callId, { kind: KINDS[action.report] }, nowMs));
        break;
      }
      case 'cancel': {
        const callId = [...this.offered][action.pick % Math.max(1, this.offered.size)];
        if (callId === undefined) break;
        this.running.delete(callId);
        this.recordDecisions(controller.cancel(callId, nowMs));
        break;
      }
      case 'tick':
        this.recordDecisions(controller.tick(nowMs));
        break;
      case 'warmUp':
        controller.beginWarmUp(nowMs);
        break;
      case 'configure':
        controller.configure({ ...limits, maxQueueMs: 30 }, SLOTS - 1, nowMs);
        break;
      default:
        throw new Error(`unknown step ${String(action satisfies never)}`);
    }
    this.checkInvariants();
  }

  private recordDecisions(decisions: readonly AdmissionDecision[]): void {
    for (const { kind, callId } of decisions) {
      expect(this.offered.has(callId)).toBe(true);
      expect(this.decided.has(callId)).toBe(false);
      this.decided.set(callId, kind);
      if (kind === 'admitted') this.running.add(callId);
    }
    if (decisions.some(({ kind }) => kind === 'admitted')) {
      expect(this.running.size).toBeLessThanOrEqual(this.controller.snapshot(this.nowMs).limit);
    }
  }

  private checkInvariants(): void {
    const snapshot = this.controller.snapshot(this.nowMs);
    expect(snapshot.inFlight).toBe(this.running.size);
    expect(snapshot.queued).toBe(this.offered.size - this.decided.size);
    expect(snapshot.inFlight).toBeLessThanOrEqual(SLOTS);
    expect(snapshot.limit).toBeGreaterThanOrEqual(1);
    expect(snapshot.limit).toBeLessThanOrEqual(snapshot.slots);
    expect(snapshot.threshold).toBeGreaterThanOrEqual(1);
    expect(snapshot.threshold).toBeLessThanOrEqual(4);
    expect(this.controller.nextWakeAtMs() === undefined).toBe(snapshot.queued === 0);
  }
}

describe('AdmissionController under arbitrary interleavings', () => {
  it.each([[[]], [['threshold', 'newestFirst']], [['patience', 'doomed']]])(
    'conserves slots and decides every call exactly once with %j switched off',
    (disabled) => {
      fc.assert(
        fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
          const model = new AdmissionModel(disabled);
          for (const [afterMs, action] of steps) model.apply(afterMs, action);
          model.apply(limits.maxQueueMs, { kind: 'tick' });
          expect(model.decided.size).toBe(model.offered.size);
          expect(model.controller.nextWakeAtMs()).toBeUndefined();
          while (model.running.size > 0) {
            model.apply(1, { kind: 'finish', pick: 0, report: 0 });
          }
          expect(model.controller.load()).toBe(0);
        }),
        { seed: SEED, numRuns: 300 },
      );
    },
  );
});
