import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { FakeNetwork, NetworkFaults } from './fake-network';
import { joinedNetwork, testMember } from './fake-network';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
/** Long enough that a busy machine does not fail the test. */
const TIMEOUT_MS = 240_000;
const RUNS = { numRuns: 25, seed: 20_261_204 };
const MEMBER_COUNT = 12;
const GOSSIP_BYTES_PER_SECOND = 3_000;

const networkFaults = fc.record({
  lossRatio: fc.double({ min: 0, max: 0.3, noNaN: true }),
  duplicateRatio: fc.double({ min: 0, max: 0.3, noNaN: true }),
  maxDelayMs: fc.integer({ min: 1, max: 150 }),
});

type Step =
  | { readonly kind: 'pause'; readonly node: number; readonly forMs: number }
  | { readonly kind: 'partition'; readonly partitions: number; readonly forMs: number }
  | { readonly kind: 'kill'; readonly node: number }
  | { readonly kind: 'restart'; readonly node: number; readonly clockBackMs: number }
  | { readonly kind: 'wait'; readonly forMs: number };

const node = fc.integer({ min: 0, max: MEMBER_COUNT - 1 });
const forMs = fc.integer({ min: 100, max: 20_000 });
const steps = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('pause' as const), node, forMs }),
    fc.record({
      kind: fc.constant('partition' as const),
      partitions: fc.integer({ min: 2, max: 3 }),
      forMs,
    }),
    fc.record({ kind: fc.constant('kill' as const), node }),
    fc.record({
      kind: fc.constant('restart' as const),
      node,
      clockBackMs: fc.constantFrom(0, 0, 3_600_000),
    }),
    fc.record({ kind: fc.constant('wait' as const), forMs }),
  ),
  { maxLength: 6 },
);

/** Applies a step and updates the running members. */
function applyStep(
  network: FakeNetwork,
  running: Map<number, Member>,
  step: Step,
  stepIndex: number,
): void {
  switch (step.kind) {
    case 'pause':
      network.pause(testMember(step.node), step.forMs);
      network.runFor(step.forMs / 2);
      break;
    case 'partition':
      network.setPartitions(step.partitions);
      network.runFor(step.forMs);
      network.setPartitions(1);
      break;
    case 'kill':
      if (step.node === 0) break;
      network.kill(testMember(step.node));
      running.delete(step.node);
      break;
    case 'restart': {
      const incarnation = (MEMBER_COUNT + stepIndex).toString(16).padStart(16, '0');
      const base = testMember(step.node);
      const member = { ...base, id: { ...base.id, incarnation } };
      running.set(step.node, member);
      network.restart(member, step.clockBackMs);
      break;
    }
    case 'wait':
      network.runFor(step.forMs);
      break;
    default:
  }
}

/** Regression cases: inputs that once failed to converge. */
const REGRESSION_CASES: [number, NetworkFaults, Step[]][] = [
  [
    0,
    { lossRatio: 0, duplicateRatio: 0, maxDelayMs: 1 },
    [
      { kind: 'kill', node: 11 },
      { kind: 'pause', node: 0, forMs: 6_262 },
      { kind: 'restart', node: 11, clockBackMs: 3_600_000 },
    ],
  ],
  [
    0,
    { lossRatio: 0.003944685449823738, duplicateRatio: 0, maxDelayMs: 7 },
    [
      { kind: 'partition', partitions: 3, forMs: 9_953 },
      { kind: 'kill', node: 1 },
    ],
  ],
];

describe('gossip under faults', { timeout: TIMEOUT_MS }, () => {
  it('converges to exactly the running members after arbitrary faults', () => {
    fc.assert(
      fc.property(fc.integer(), networkFaults, steps, (seed, faults, appliedSteps) => {
        const { network, members } = joinedNetwork(MEMBER_COUNT, Math.abs(seed));
        const running = new Map(members.map((member, number) => [number, member]));
        network.setFaults(faults);
        network.runFor(10 * SECOND_MS);
        appliedSteps.forEach((step, stepIndex) => applyStep(network, running, step, stepIndex));
        network.clearFaults();
        const expected = [...running.values()];
        expect(network.runFor(3 * MINUTE_MS, () => network.allSeeAlive(expected))).toBe(true);
      }),
      { ...RUNS, examples: REGRESSION_CASES },
    );
  });

  it('keeps the suspects of a partition in the table and recovers them', () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const { network, members } = joinedNetwork(16, Math.abs(seed));
        network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
        network.setPartitions(2);
        network.runFor(2 * MINUTE_MS);
        for (const { engine } of network.runningNodes()) {
          expect(engine.table.membersOf('vault').length).toBeGreaterThan(12);
        }
        network.clearFaults();
        expect(network.runFor(MINUTE_MS, () => network.allSeeAlive(members))).toBe(true);
      }),
      { ...RUNS, numRuns: 3 },
    );
  });

  it('stays within the byte budget after half of the members failed', () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const { network, members } = joinedNetwork(24, Math.abs(seed));
        network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
        for (const member of members.slice(12)) network.kill(member);
        const before = network.runningNodes().map(({ bytesSent }) => bytesSent);
        network.runFor(30 * SECOND_MS);
        network.runningNodes().forEach(({ bytesSent }, at) => {
          const perSecond = (bytesSent - (before[at] ?? 0)) / 30;
          expect(perSecond).toBeLessThan(GOSSIP_BYTES_PER_SECOND);
        });
      }),
      { ...RUNS, numRuns: 3 },
    );
  });

  it('keeps the table populated while every member is replaced in turn', () => {
    const { network, members } = joinedNetwork(MEMBER_COUNT, 10);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const replaced = members.map((member, number) => {
      const incarnation = (MEMBER_COUNT + number).toString(16).padStart(16, '0');
      return { ...member, id: { ...member.id, incarnation } };
    });
    for (const member of replaced) {
      network.kill(member);
      network.runFor(2 * SECOND_MS);
      const others = network.runningNodes().filter(({ address }) => address !== member.address);
      network.restart(member, 0);
      network.runFor(2 * SECOND_MS);
      for (const { engine } of others) {
        expect(engine.table.membersOf('vault').length).toBeGreaterThanOrEqual(MEMBER_COUNT - 1);
      }
    }
    expect(network.runFor(MINUTE_MS, () => network.allSeeAlive(replaced))).toBe(true);
  });

  it('does not suspect other members for long after its own process was paused', () => {
    const { network, members } = joinedNetwork(MEMBER_COUNT, 9);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const paused = network.node(testMember(4));
    network.pause(testMember(4), 30 * SECOND_MS);
    network.runFor(31 * SECOND_MS);
    const suspects = [...paused.engine.table.allRecords()].filter(
      ({ reachability, member }) =>
        reachability !== Reachability.alive && member.id.name !== 'vault-4',
    );
    expect(suspects).toEqual([]);
  });
});
