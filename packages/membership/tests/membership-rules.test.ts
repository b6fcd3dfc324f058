import { Reachability, TargetState } from '@daisyferry/model/member';
import { describe, expect, it } from 'vitest';
import { GossipEngine } from '../src/gossip-engine';
import { DEFAULT_GOSSIP_TUNING } from '../src/gossip-options';
import { MemberTable } from '../src/member-table';
import { SuspicionRules } from '../src/suspicion-rules';
import { FakeNetwork, joinedNetwork, seededRandom, START_MS, testMember } from './fake-network';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

function createTable(members: number, suspects: number): MemberTable {
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
    const table = createTable(members, suspects);
    const rules = new SuspicionRules(table, DEFAULT_GOSSIP_TUNING);
    const record = table.recordNamed('vault-0');
    expect(rules.isHeld('dc-0', START_MS)).toBe(isHeld);
    expect(record && rules.isExpired(record, START_MS + MINUTE_MS)).toBe(!isHeld);
    expect(record && rules.isExpired(record, START_MS + 7_200_000)).toBe(true);
  });

  it('holds the suspects of one data centre, but not those of others', () => {
    const table = createTable(1_000, 0);
    for (let number = 0; number < 400; number += 10) {
      const record = table.recordNamed(`vault-${number}`);
      if (record !== undefined) table.setState(record, Reachability.suspect, 0, START_MS);
    }
    const rules = new SuspicionRules(table, DEFAULT_GOSSIP_TUNING);
    expect(rules.isHeld('dc-0', START_MS)).toBe(true);
    expect(rules.isHeld('dc-1', START_MS)).toBe(false);
  });
});

describe('members', () => {
  it('are removed on all members when they leave, even while suspects are held', () => {
    const { network, members } = joinedNetwork(16, 4);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    for (const member of members.slice(10)) network.kill(member);
    network.runFor(10 * SECOND_MS);
    const leavingNode = network.node(testMember(3));
    network.performEffects(leavingNode, leavingNode.engine.leave(network.nowMs));
    leavingNode.isUp = false;
    const isDead = (): boolean =>
      network
        .runningNodes()
        .every(
          ({ engine }) => engine.table.memberNamed('vault-3')?.reachability === Reachability.dead,
        );
    expect(network.runFor(2 * SECOND_MS, isDead)).toBe(true);
  });

  it('that failed are removed after the retention time and do not reappear', () => {
    const { network, members } = joinedNetwork(8, 6, { deadRetentionMs: MINUTE_MS });
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    network.kill(testMember(5));
    const isRemoved = (): boolean =>
      network
        .runningNodes()
        .every(({ engine }) => engine.table.memberNamed('vault-5') === undefined);
    expect(network.runFor(2 * MINUTE_MS, isRemoved)).toBe(true);
    network.runFor(MINUTE_MS);
    expect(isRemoved()).toBe(true);
  });

  it('belong to the replacement when the replaced incarnation resumes from a pause', () => {
    const { network, members } = joinedNetwork(8, 7);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const replacedMember = testMember(2);
    network.pause(replacedMember, 30 * SECOND_MS);
    network.runFor(10 * SECOND_MS);
    const id = { name: replacedMember.id.name, incarnation: 'f'.repeat(16) };
    const replacement = testMember(2, { id, address: '10.0.0.99' });
    const [seed] = members;
    network.add(replacement, [{ address: seed?.address ?? '', port: 7_000 }]);
    network.runFor(30 * SECOND_MS);
    const kinds = network.node(replacedMember).effects.map(({ kind }) => kind);
    expect(kinds).toContain('superseded');
    for (const { engine, address } of network.runningNodes()) {
      const view = engine.table.memberNamed('vault-2');
      if (address !== replacedMember.address) expect(view?.member.id).toEqual(id);
    }
  });

  it('are listed in one cached sorted list per service until it changes', () => {
    const table = createTable(30, 0);
    const before = table.membersOf('vault');
    const names = before.map(({ member }) => member.id.name);
    expect(names).toEqual([...names].sort());
    expect(table.membersOf('vault')).toBe(before);
    const { epoch } = table;
    const record = table.recordNamed('vault-9');
    if (record !== undefined) table.setState(record, Reachability.dead, 0, START_MS);
    expect(table.epoch).not.toBe(epoch);
    expect(table.membersOf('vault')).toHaveLength(29);
    expect(table.membersOf('nowhere')).toEqual([]);
  });
});

describe('policy revisions', () => {
  it('reach all members within 200 ms', () => {
    const { network, members } = joinedNetwork(30, 8);
    network.runFor(MINUTE_MS, () => network.allSeeAlive(members));
    const first = network.node(testMember(0));
    network.performEffects(first, first.engine.announcePolicyRevision(12, network.nowMs));
    // Each node announces the revision it received, as a daemon does after it pulled the policies.
    const areAllNotified = (): boolean => {
      const notified = network
        .runningNodes()
        .filter(({ effects }) => effects.some(({ kind }) => kind === 'policyRumor'));
      for (const node of notified) {
        network.performEffects(node, node.engine.announcePolicyRevision(12, network.nowMs));
      }
      return notified.length === members.length - 1;
    };
    expect(network.runFor(200, areAllNotified)).toBe(true);
  });
});

describe('byte budget of a joining member', () => {
  it('is not spent on members received in bulk', () => {
    const network = new FakeNetwork(seededRandom(2));
    const engine = new GossipEngine(
      { self: testMember(0), cluster: 'test', random: seededRandom(3) },
      START_MS,
    );
    const statuses = Array.from({ length: 200 }, (_, number) => ({
      member: testMember(number + 1, { targetState: TargetState.serving }),
      refutations: 0,
      reachability: Reachability.alive,
    }));
    const effects = [...engine.mergeMembers(statuses, network.nowMs)];
    for (let second = 1; second <= 10; second += 1) {
      effects.push(...engine.tick(network.nowMs + second * SECOND_MS));
    }
    const sent = effects.filter((effect) => effect.kind === 'send');
    const largest = Math.max(...sent.map(({ payload }) => payload.length));
    expect(sent.length).toBeGreaterThan(5);
    expect(largest).toBeLessThan(400);
  });
});
