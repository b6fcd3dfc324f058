import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import { describe, expect, it } from 'vitest';
import { MemberTableFetcher } from '../src/member-table-fetcher';
import type { MemberStatus } from '../src/member-row';
import { MemberTable } from '../src/member-table';
import type { StoredPolicyReader } from '../src/bootstrap-task';
import { BootstrapTask } from '../src/bootstrap-task';
import { FakePeers, raiseRevision } from './fake-peers';

const STORE_DOWN: StoreResult<never> = { ok: false, kind: 'refused', detail: 'down' };

/** A store at a given revision, or an unavailable one if the revision is undefined. */
class FakeStoredPolicyReader implements StoredPolicyReader {
  constructor(public revision: number | undefined) {}

  async greatestRevision(): Promise<StoreResult<number>> {
    return this.revision === undefined ? STORE_DOWN : { ok: true, value: this.revision };
  }

  async readAll() {
    if (this.revision === undefined) return STORE_DOWN;
    const replica = new MemoryPolicyReplica();
    raiseRevision(replica, this.revision);
    return { ok: true as const, value: replica.deltaSince(0) };
  }
}

function createBootstrapTask(peers: FakePeers, store: FakeStoredPolicyReader) {
  const replica = new MemoryPolicyReplica();
  const table = peers.addPeersTo(new MemberTable());
  const learned: MemberStatus[] = [];
  const { scheduler, random } = peers;
  const members = new MemberTableFetcher({
    selfName: 'joining-member',
    table,
    rpc: peers,
    random,
    onMembers: (statuses) => learned.push(...statuses),
  });
  const onApplied = (): void => undefined;
  const onReady = (): void => undefined;
  const options = { replica, members, store, rpc: peers, scheduler, random, onApplied, onReady };
  return { replica, table, learned, bootstrapTask: new BootstrapTask(options) };
}

describe('bootstrap task', () => {
  it.each([
    { name: 'store and peers', stored: 5, peerRevisions: [5, 4], expected: 5 },
    { name: 'a peer ahead of the store', stored: 3, peerRevisions: [5, 4], expected: 5 },
    { name: 'the store ahead of its peers', stored: 7, peerRevisions: [5, 4], expected: 7 },
    { name: 'peers alone', stored: undefined, peerRevisions: [5, 4], expected: 5 },
    { name: 'the store alone', stored: 6, peerRevisions: [], expected: 6 },
    { name: 'an empty store alone', stored: 0, peerRevisions: [], expected: 0 },
  ])('is ready at the greatest revision of $name', async ({ stored, peerRevisions, expected }) => {
    const peers = new FakePeers();
    peerRevisions.forEach((revision, number) =>
      peers.addPeersTo(peers.add(number, revision).table),
    );
    const { replica, bootstrapTask } = createBootstrapTask(
      peers,
      new FakeStoredPolicyReader(stored),
    );
    bootstrapTask.start();
    await peers.scheduler.advance(1_000);
    expect(replica.ready).toBe(true);
    expect(replica.revision).toBe(expected);
  });

  it('stays not ready without store and peers until one of them responds', async () => {
    const peers = new FakePeers();
    const store = new FakeStoredPolicyReader(undefined);
    const { replica, bootstrapTask } = createBootstrapTask(peers, store);
    bootstrapTask.start();
    await peers.scheduler.advance(3_600_000);
    expect(replica.ready).toBe(false);
    store.revision = 2;
    await peers.scheduler.advance(10_000);
    expect(replica.ready).toBe(true);
    expect(replica.revision).toBe(2);
  });

  it('ignores peers that are not ready', async () => {
    const peers = new FakePeers();
    peers.add(1, 0, false);
    const { replica, bootstrapTask } = createBootstrapTask(
      peers,
      new FakeStoredPolicyReader(undefined),
    );
    bootstrapTask.start();
    await peers.scheduler.advance(60_000);
    expect(replica.ready).toBe(false);
  });

  it('fetches all members page by page', async () => {
    const peers = new FakePeers();
    const added = Array.from({ length: 700 }, (_, number) => peers.add(number, 1));
    for (const { table } of added.slice(0, 3)) peers.addPeersTo(table);
    const { learned, bootstrapTask, table, replica } = createBootstrapTask(
      peers,
      new FakeStoredPolicyReader(1),
    );
    for (const { member } of added.slice(3)) {
      const record = table.recordNamed(member.id.name);
      if (record !== undefined) table.remove(record);
    }
    bootstrapTask.start();
    await peers.scheduler.advance(1_000);
    expect(new Set(learned.map(({ member }) => member.id.name)).size).toBe(700);
    expect(replica.ready).toBe(true);
  });
});
