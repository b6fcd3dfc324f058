import { LocalPolicies } from '@daisyferry/policies/policy-replica';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import { describe, expect, it } from 'vitest';
import { MemberFetch } from '../src/member-fetch';
import type { MemberFact } from '../src/member-row';
import { MemberTable } from '../src/member-table';
import type { StoredPolicies } from '../src/newcomer';
import { Newcomer } from '../src/newcomer';
import { FakePeers, raise } from './fake-peers';

const DOWN: StoreResult<never> = { ok: false, kind: 'refused', detail: 'down' };

/** A store that holds a revision, or is down without one. */
class FakeStoredPolicies implements StoredPolicies {
  constructor(public revision: number | undefined) {}

  async greatestRevision(): Promise<StoreResult<number>> {
    return this.revision === undefined ? DOWN : { ok: true, value: this.revision };
  }

  async readAll() {
    if (this.revision === undefined) return DOWN;
    const replica = new LocalPolicies();
    raise(replica, this.revision);
    return { ok: true as const, value: replica.deltaSince(0) };
  }
}

function newNewcomer(peers: FakePeers, store: FakeStoredPolicies) {
  const replica = new LocalPolicies();
  const table = peers.fill(new MemberTable());
  const learned: MemberFact[] = [];
  const { scheduler, random } = peers;
  const members = new MemberFetch({
    selfName: 'newcomer',
    table,
    rpc: peers,
    random,
    learn: (facts) => learned.push(...facts),
  });
  const onApplied = (): void => undefined;
  const onReady = (): void => undefined;
  const parts = { replica, members, store, rpc: peers, scheduler, random, onApplied, onReady };
  return { replica, table, learned, newcomer: new Newcomer(parts) };
}

describe('newcomer', () => {
  it.each([
    { name: 'store and peers', stored: 5, peerRevisions: [5, 4], expected: 5 },
    { name: 'a peer ahead of the store', stored: 3, peerRevisions: [5, 4], expected: 5 },
    { name: 'the store ahead of its peers', stored: 7, peerRevisions: [5, 4], expected: 7 },
    { name: 'peers alone', stored: undefined, peerRevisions: [5, 4], expected: 5 },
    { name: 'the store alone', stored: 6, peerRevisions: [], expected: 6 },
    { name: 'an empty store alone', stored: 0, peerRevisions: [], expected: 0 },
  ])('is ready at the greatest revision of $name', async ({ stored, peerRevisions, expected }) => {
    const peers = new FakePeers();
    peerRevisions.forEach((revision, number) => peers.fill(peers.add(number, revision).table));
    const { replica, newcomer } = newNewcomer(peers, new FakeStoredPolicies(stored));
    newcomer.start();
    await peers.scheduler.advance(1_000);
    expect(replica.ready).toBe(true);
    expect(replica.revision).toBe(expected);
  });

  it('stays not ready without store and peers until one of them answers', async () => {
    const peers = new FakePeers();
    const store = new FakeStoredPolicies(undefined);
    const { replica, newcomer } = newNewcomer(peers, store);
    newcomer.start();
    await peers.scheduler.advance(3_600_000);
    expect(replica.ready).toBe(false);
    store.revision = 2;
    await peers.scheduler.advance(10_000);
    expect(replica.ready).toBe(true);
    expect(replica.revision).toBe(2);
  });

  it('does not take peers that are not ready for a source', async () => {
    const peers = new FakePeers();
    peers.add(1, 0, false);
    const { replica, newcomer } = newNewcomer(peers, new FakeStoredPolicies(undefined));
    newcomer.start();
    await peers.scheduler.advance(60_000);
    expect(replica.ready).toBe(false);
  });

  it('learns all members page by page', async () => {
    const peers = new FakePeers();
    const added = Array.from({ length: 700 }, (_, number) => peers.add(number, 1));
    for (const { table } of added.slice(0, 3)) peers.fill(table);
    const { learned, newcomer, table, replica } = newNewcomer(peers, new FakeStoredPolicies(1));
    for (const { member } of added.slice(3)) {
      const record = table.recordNamed(member.id.name);
      if (record !== undefined) table.remove(record);
    }
    newcomer.start();
    await peers.scheduler.advance(1_000);
    expect(new Set(learned.map(({ member }) => member.id.name)).size).toBe(700);
    expect(replica.ready).toBe(true);
  });
});
