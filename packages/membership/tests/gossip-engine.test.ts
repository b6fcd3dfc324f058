import { Reachability, TargetState } from '@daisyferry/model/member';
import { describe, expect, it } from 'vitest';
import { joinedNetwork, testMember } from './fake-network';

const SECOND_MS = 1_000;

/** Long enough that a busy machine does not fail the test. */
const TIMEOUT_MS = 240_000;

describe('gossip engine', () => {
  it('converges to a full table on all members after a join through one seed', () => {
    const { network, members } = joinedNetwork(20, 1);
    expect(network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members))).toBe(true);
  });

  it(
    'lets a hundred daemons join through one seed at the same time and detects lost ones',
    { timeout: TIMEOUT_MS },
    () => {
      const { network, members } = joinedNetwork(100, 15);
      expect(network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members))).toBe(true);
      network.runFor(30 * SECOND_MS);
      const lost = members.filter((_member, number) => number % 5 === 3);
      for (const member of lost) network.kill(member);
      const isDetected = (): boolean =>
        network
          .runningNodes()
          .every(({ engine }) =>
            lost.every(({ id }) => engine.table.memberNamed(id.name)?.reachability !== 'alive'),
          );
      expect(network.runFor(8 * SECOND_MS, isDetected)).toBe(true);
    },
  );

  it('detects a killed member on all members', () => {
    const { network, members } = joinedNetwork(20, 2);
    network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members));
    network.kill(testMember(7));
    const remaining = members.filter((member) => member.id.name !== 'vault-7');
    expect(network.runFor(6 * SECOND_MS, () => network.allSeeAlive(remaining))).toBe(true);
    const [node] = network.runningNodes();
    network.runFor(10 * SECOND_MS);
    expect(node?.engine.table.memberNamed('vault-7')?.reachability).toBe(Reachability.dead);
  });

  it('disseminates a change of the own record within a second', () => {
    const { network, members } = joinedNetwork(20, 3);
    network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members));
    const node = network.node(testMember(3));
    network.performEffects(
      node,
      node.engine.publish({ targetState: TargetState.leaving }, network.nowMs),
    );
    const isKnown = (): boolean =>
      network
        .runningNodes()
        .every(
          ({ engine }) =>
            engine.directory.memberNamed('vault-3')?.member.targetState === TargetState.leaving,
        );
    expect(network.runFor(SECOND_MS, isKnown)).toBe(true);
  });
});
