import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PolicyPuller } from '../src/policy-puller';
import { FakePeers, raiseRevision } from './fake-peers';

function createPuller(peers: FakePeers) {
  const replica = new MemoryPolicyReplica();
  replica.markReady();
  const applied: number[] = [];
  const { scheduler, random } = peers;
  const onApplied = (revision: number): number => applied.push(revision);
  const options = { replica, rpc: peers, scheduler, random, onApplied };
  return { replica, applied, puller: new PolicyPuller(options) };
}

describe('policy puller', () => {
  it('pulls once for many rumors of one revision', async () => {
    const peers = new FakePeers();
    const sources = [1, 2, 3].map((number) => peers.add(number, 4));
    const { replica, applied, puller } = createPuller(peers);
    for (const { member } of sources) puller.handleRumor(4, member);
    await peers.scheduler.advance(0);
    expect(replica.revision).toBe(4);
    expect(applied).toEqual([4]);
    expect(peers.calls).toHaveLength(1);
  });

  it('ignores rumors before the daemon is ready', async () => {
    const peers = new FakePeers();
    const replica = new MemoryPolicyReplica();
    const { scheduler, random } = peers;
    const onApplied = (): void => undefined;
    const puller = new PolicyPuller({ replica, rpc: peers, scheduler, random, onApplied });
    puller.handleRumor(4, peers.add(1, 4).member);
    await scheduler.advance(10_000);
    expect(peers.calls).toEqual([]);
  });

  it.each(['busy', 'unresponsive', 'malformed'] as const)(
    'tries another peer if the first one is %s',
    async (replyMode) => {
      const peers = new FakePeers();
      const failingPeer = peers.add(1, 4);
      failingPeer.replyMode = replyMode;
      const healthyPeer = peers.add(2, 4);
      const { replica, puller } = createPuller(peers);
      puller.handleRumor(4, failingPeer.member);
      puller.handleRumor(4, healthyPeer.member);
      await peers.scheduler.advance(10_000);
      expect(replica.revision).toBe(4);
      expect(peers.calls.map(({ to }) => to)).toEqual(['vault-1', 'vault-2']);
    },
  );

  it('fetches changes announced during a pull', async () => {
    const peers = new FakePeers();
    const peer = peers.add(1, 4);
    const { replica, applied, puller } = createPuller(peers);
    puller.handleRumor(4, peer.member);
    raiseRevision(peer.replica, 9);
    puller.handleRumor(9, peer.member);
    await peers.scheduler.advance(10_000);
    expect(replica.revision).toBe(9);
    expect(applied.at(-1)).toBe(9);
  });

  it('never goes back, regardless of the replies of peers and their order', async () => {
    const rumors = fc.array(
      fc.record({
        peer: fc.integer({ min: 1, max: 4 }),
        revision: fc.integer({ min: 0, max: 20 }),
        replyMode: fc.constantFrom('normal' as const, 'busy' as const, 'unresponsive' as const),
        waitMs: fc.integer({ min: 0, max: 500 }),
      }),
      { maxLength: 20 },
    );
    await fc.assert(
      fc.asyncProperty(rumors, async (steps) => {
        const peers = new FakePeers();
        const { replica, applied, puller } = createPuller(peers);
        const allPeers = [1, 2, 3, 4].map((number) => peers.add(number, 0));
        for (const { peer, revision, replyMode, waitMs } of steps) {
          const source = allPeers[peer - 1];
          if (source === undefined) continue;
          source.replyMode = replyMode;
          if (revision > source.replica.revision) raiseRevision(source.replica, revision);
          puller.handleRumor(source.replica.revision, source.member);
          await peers.scheduler.advance(waitMs);
        }
        expect(applied).toEqual([...applied].sort((left, right) => left - right));
        for (const peer of allPeers) peer.replyMode = 'normal';
        const greatest = allPeers.reduce((left, right) =>
          left.replica.revision >= right.replica.revision ? left : right,
        );
        await peers.scheduler.advance(10_000);
        puller.handleRumor(greatest.replica.revision, greatest.member);
        await peers.scheduler.advance(10_000);
        expect(replica.revision).toBe(greatest.replica.revision);
      }),
      { seed: 20_261_204, numRuns: 60 },
    );
  });
});
