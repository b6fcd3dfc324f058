import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { shedMargin } from '@daisyferry/mesh/shed-margin';
import { TargetSlotQueue, type SlotRequest } from '@daisyferry/mesh/target-slot-queue';
import { describe, expect, it } from 'vitest';

interface SimulationResult {
  readonly served: Readonly<Record<number, number>>;
  readonly offered: Readonly<Record<number, number>>;
  /** Calls that were executed for trees that did not complete. */
  readonly wastedCalls: number;
}

const SERVICE_MS = 16;
const SLOTS = 17;
const CALLS_PER_TREE = 4;
const TREE_DEADLINE_MS = 1_200;
const STEP_MS = 1;
const SWEEP_MS = 25;
/** Time until a level reaches the entries. */
const FEEDBACK_DELAY_MS = 100;
const CLASSES = 3;

/** A root request that occupies a slot upstream while it makes calls to the overloaded target. */
class CallTree {
  callsLeft = CALLS_PER_TREE;

  constructor(
    readonly priority: number,
    readonly startedMs: number,
  ) {}

  /** Records the end of one call. Returns true if it was the last one. */
  finishCall(): boolean {
    this.callsLeft -= 1;
    return this.callsLeft === 0;
  }
}

/**
 * Simulates a surge of call trees on one target: urgent trees (priority 0) within its capacity, and
 * others (priority 2) that raise the load to `overload` times the capacity.
 */
function simulate(overload: number, usesShedLevel: boolean, lengthMs: number): SimulationResult {
  const queue = new TargetSlotQueue(SLOTS);
  const level = new ShedLevel();
  const entryLevels: number[] = [];
  const running: { readonly endsMs: number; readonly finish: (nowMs: number) => void }[] = [];
  const served: Record<number, number> = { 0: 0, 2: 0 };
  const offered: Record<number, number> = { 0: 0, 2: 0 };
  let wastedCalls = 0;
  const capacityPerMs = SLOTS / SERVICE_MS / CALLS_PER_TREE;
  const ratePerMs: Record<number, number> = {
    0: capacityPerMs * 0.5,
    2: capacityPerMs * (overload - 0.5),
  };
  const arrivalCredit: Record<number, number> = { 0: 0, 2: 0 };

  function callNext(tree: CallTree, nowMs: number): void {
    const request: SlotRequest = {
      priority: 1,
      usefulUntilMs: tree.startedMs + TREE_DEADLINE_MS,
      deadlineMs: tree.startedMs + TREE_DEADLINE_MS,
      start: (startedMs) => {
        running.push({
          endsMs: startedMs + SERVICE_MS,
          finish: (endMs) => {
            queue.recordFinished(SERVICE_MS, false, endMs);
            if (tree.finishCall()) served[tree.priority] = (served[tree.priority] ?? 0) + 1;
            else callNext(tree, endMs);
          },
        });
      },
      refuse: () => {
        wastedCalls += CALLS_PER_TREE - tree.callsLeft;
      },
    };
    queue.submit(request, nowMs);
  }

  let treeNumber = 0;
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    if (nowMs % SWEEP_MS === 0) {
      level.update(queue.expectedWaitMs(nowMs), CLASSES, nowMs);
      queue.refuseUnservable(nowMs);
    }
    entryLevels.push(level.value);
    const levelAtEntries = usesShedLevel ? (entryLevels[nowMs - FEEDBACK_DELAY_MS] ?? 0) : 0;
    while (running[0] !== undefined && running[0].endsMs <= nowMs) running.shift()?.finish(nowMs);
    for (const priority of [0, 2]) {
      arrivalCredit[priority] = (arrivalCredit[priority] ?? 0) + (ratePerMs[priority] ?? 0);
      while ((arrivalCredit[priority] ?? 0) >= 1) {
        arrivalCredit[priority] = (arrivalCredit[priority] ?? 0) - 1;
        offered[priority] = (offered[priority] ?? 0) + 1;
        treeNumber += 1;
        const margin = shedMargin({
          requestId: `tree-${treeNumber}`,
          classesBelow: CLASSES - 1 - priority,
          level: levelAtEntries,
        });
        if (margin <= 0) callNext(new CallTree(priority, nowMs), nowMs);
      }
    }
  }
  return { served, offered, wastedCalls };
}

describe('a surge of call trees on one overloaded target', () => {
  const LENGTH_MS = 10_000;

  it.each([1.3, 2, 3])('serves the urgent trees at %f times the capacity', (overload) => {
    const { served, offered } = simulate(overload, true, LENGTH_MS);
    expect((served[0] ?? 0) / (offered[0] ?? 1)).toBeGreaterThan(0.95);
  });

  it.each([2, 3])(
    'fills the remaining capacity with less urgent trees at %f times the capacity',
    (overload) => {
      const { served } = simulate(overload, true, LENGTH_MS);
      const capacity = ((SLOTS / SERVICE_MS) * LENGTH_MS) / CALLS_PER_TREE;
      expect(((served[0] ?? 0) + (served[2] ?? 0)) / capacity).toBeGreaterThan(0.8);
    },
  );

  it('wastes less work on incomplete trees than without the shed level', () => {
    const withLevel = simulate(2, true, LENGTH_MS);
    const withoutLevel = simulate(2, false, LENGTH_MS);
    expect(withLevel.wastedCalls).toBeLessThan(withoutLevel.wastedCalls / 4);
    expect(withLevel.served[0]).toBeGreaterThan(withoutLevel.served[0] ?? 0);
  });
});
