import { Reachability, TargetState } from '@daisyferry/model/member';
import { describe, expect, it } from 'vitest';
import { GossipEngine } from '../src/gossip-engine';
import { DEFAULT_GOSSIP_TUNING } from '../src/gossip-options';
import { MemberTable } from '../src/member-table';
import { SuspicionRules } from '../src/suspicion-rules';
import { FakeNetwork, joinedNetwork, seededRandom, START_MS, testMember } from './fake-network';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

function tableOf(members: number, suspects: number): MemberTable {
  const table = new MemberTable();
  for (let number = 0; number < members; number += 1) {
    const reachability = number < suspects ? Reachability.suspect : Reachability.alive;
    table.put(testMember(number, { dataCentre: `dc-${number % 10}` }), 0, reachability, START_MS);
  }
  return table;
}

describe('suspicion rules', () => {
  it.each([
    { members: 100, suspects: 1, isHeld: false },
    { members: 100, suspects: 10, isHeld: false },
    { members: 100, suspects: 11, isHeld: true },
    { members: 1_000, suspects: 100, isHeld: false },
    { members: 4, suspects: 3, isHeld: false },
  ])('with $suspects of $members suspect: held $isHeld', ({ members, suspects, isHeld }) => {
    const table = tableOf(members, suspects);
    const rules = new SuspicionRules(table, DEFAULT_GOSSIP_TUNING);
    const record = table.recordNamed('vault-0');
    expect(rules.isHeld('dc-0')).toBe(isHeld);
    expect(record && rules.isExpired(record, START_MS + MINUTE_MS)).toBe(!isHeld);
    expect(record && rules.isExpired(record, START_MS + 7_200_000)).toBe(true);
  });

  it('holds the suspects of one data centre while the others die', () => {
    const table = tableOf(1_000, 0);
    for (let number = 0; number < 400; number += 10) {
      const record = table.recordNamed(`vault-${number}`);
      if (record !== undefined) table.mark(record, Reachability.suspect, 0, START_MS);
    }
    const rules = new SuspicionRules(table, DEFAULT_GOSSIP_TUNING);
    expect(rules.isHeld('dc-0')).toBe(true);
    expect(rules.isHeld('dc-1')).toBe(false);
  });
});

describe('members', () => {
  it('leave at once and everywhere, also while suspects are held', () => {
    const { network, members } = joinedNetwork(16, 4);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    for (const member of members.slice(10)) network.kill(member);
    network.runFor(10 * SECOND_MS);
    const leaver = network.node(testMember(3));
    network.perform(leaver, leaver.engine.leave(network.nowMs));
    leaver.isUp = false;
    const isGone = (): boolean =>
      network
        .live()
        .every(
          ({ engine }) => engine.table.memberNamed('vault-3')?.reachability === Reachability.dead,
        );
    expect(network.runFor(2 * SECOND_MS, isGone)).toBe(true);
  });

  it('that failed are forgotten after a bounded time and do not come back', () => {
    const { network, members } = joinedNetwork(8, 6, { deadRetentionMs: MINUTE_MS });
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    network.kill(testMember(5));
    const isForgotten = (): boolean =>
      network.live().every(({ engine }) => engine.table.memberNamed('vault-5') === undefined);
    expect(network.runFor(2 * MINUTE_MS, isForgotten)).toBe(true);
    network.runFor(MINUTE_MS);
    expect(isForgotten()).toBe(true);
  });

  it('keep their name against a run that was paused while it was replaced', () => {
    const { network, members } = joinedNetwork(8, 7);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const old = testMember(2);
    network.pause(old, 30 * SECOND_MS);
    network.runFor(10 * SECOND_MS);
    const id = { name: old.id.name, incarnation: 'f'.repeat(16) };
    const replacement = testMember(2, { id, address: '10.0.0.99' });
    const [seed] = members;
    network.add(replacement, [{ address: seed?.address ?? '', port: 7_000 }]);
    network.runFor(30 * SECOND_MS);
    const kinds = network.node(old).effects.map(({ kind }) => kind);
    expect(kinds).toContain('superseded');
    for (const { engine, address } of network.live()) {
      const held = engine.table.memberNamed('vault-2');
      if (address !== old.address) expect(held?.member.id).toEqual(id);
    }
  });

  it('share the sorted list of a service until it changes', () => {
    const table = tableOf(30, 0);
    const before = table.membersOf('vault');
    const names = before.map(({ member }) => member.id.name);
    expect(names).toEqual([...names].sort());
    expect(table.membersOf('vault')).toBe(before);
    const { epoch } = table;
    const record = table.recordNamed('vault-9');
    if (record !== undefined) table.mark(record, Reachability.dead, 0, START_MS);
    expect(table.epoch).not.toBe(epoch);
    expect(table.membersOf('vault')).toHaveLength(29);
    expect(table.membersOf('nowhere')).toEqual([]);
  });
});

describe('policy revisions', () => {
  it('are heard of by all within 200 ms', () => {
    const { network, members } = joinedNetwork(30, 8);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const first = network.node(testMember(0));
    network.perform(first, first.engine.announcePolicyRevision(12, network.nowMs));
    // Each node announces what it heard of, as a daemon does once it has pulled the policies.
    const hasHeard = (): boolean => {
      const heard = network
        .live()
        .filter(({ effects }) => effects.some(({ kind }) => kind === 'policyRumor'));
      for (const node of heard) {
        network.perform(node, node.engine.announcePolicyRevision(12, network.nowMs));
      }
      return heard.length === members.length - 1;
    };
    expect(network.runFor(200, hasHeard)).toBe(true);
  });
});

describe('byte budget of a newcomer', () => {
  it('passes on news, but not what it learned in bulk', () => {
    const network = new FakeNetwork(seededRandom(2));
    const engine = new GossipEngine(
      { self: testMember(0), cluster: 'test', random: seededRandom(3) },
      START_MS,
    );
    const facts = Array.from({ length: 200 }, (_, number) => ({
      member: testMember(number + 1, { targetState: TargetState.serving }),
      refutations: 0,
      reachability: Reachability.alive,
    }));
    const effects = [...engine.learn(facts, network.nowMs)];
    for (let second = 1; second <= 10; second += 1) {
      effects.push(...engine.tick(network.nowMs + second * SECOND_MS));
    }
    const sent = effects.filter((effect) => effect.kind === 'send');
    const largest = Math.max(...sent.map(({ payload }) => payload.length));
    expect(sent.length).toBeGreaterThan(5);
    expect(largest).toBeLessThan(400);
  });
});
