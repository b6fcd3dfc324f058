import { Reachability, TargetState } from '@daisyferry/model/member';
import { describe, expect, it } from 'vitest';
import { joinedNetwork, testMember } from './fake-network';

const SECOND_MS = 1_000;

/** Generous, so that a busy machine does not decide the verdict. */
const TIMEOUT_MS = 240_000;

describe('gossip engine', () => {
  it('joins through one seed until all know all', () => {
    const { network, members } = joinedNetwork(20, 1);
    expect(network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members))).toBe(true);
  });

  it('lets a hundred daemons in through one seed at one moment', { timeout: TIMEOUT_MS }, () => {
    const { network, members } = joinedNetwork(100, 15);
    expect(network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members))).toBe(true);
    network.runFor(30 * SECOND_MS);
    const lost = members.filter((_member, number) => number % 5 === 3);
    for (const member of lost) network.kill(member);
    const isNoticed = (): boolean =>
      network
        .live()
        .every(({ engine }) =>
          lost.every(({ id }) => engine.table.memberNamed(id.name)?.reachability !== 'alive'),
        );
    expect(network.runFor(8 * SECOND_MS, isNoticed)).toBe(true);
  });

  it('notices a killed member everywhere', () => {
    const { network, members } = joinedNetwork(20, 2);
    network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members));
    network.kill(testMember(7));
    const rest = members.filter((member) => member.id.name !== 'vault-7');
    expect(network.runFor(6 * SECOND_MS, () => network.allSeeAlive(rest))).toBe(true);
    const [node] = network.live();
    network.runFor(10 * SECOND_MS);
    expect(node?.engine.table.memberNamed('vault-7')?.reachability).toBe(Reachability.dead);
  });

  it('spreads a change of the own record within a second', () => {
    const { network, members } = joinedNetwork(20, 3);
    network.runFor(30 * SECOND_MS, () => network.allSeeAlive(members));
    const node = network.node(testMember(3));
    network.perform(node, node.engine.publish({ targetState: TargetState.leaving }, network.nowMs));
    const isKnown = (): boolean =>
      network
        .live()
        .every(
          ({ engine }) =>
            engine.directory.memberNamed('vault-3')?.member.targetState === TargetState.leaving,
        );
    expect(network.runFor(SECOND_MS, isKnown)).toBe(true);
  });
});
