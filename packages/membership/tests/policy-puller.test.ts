import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PolicyPuller } from '../src/policy-puller';
import { FakePeers, raise } from './fake-peers';

function newDelivery(peers: FakePeers) {
  const replica = new MemoryPolicyReplica();
  replica.markReady();
  const applied: number[] = [];
  const { scheduler, random } = peers;
  const onApplied = (revision: number): number => applied.push(revision);
  const options = { replica, rpc: peers, scheduler, random, onApplied };
  return { replica, applied, delivery: new PolicyPuller(options) };
}

describe('policy delivery', () => {
  it('pulls once for many rumours of one revision', async () => {
    const peers = new FakePeers();
    const sources = [1, 2, 3].map((number) => peers.add(number, 4));
    const { replica, applied, delivery } = newDelivery(peers);
    for (const { member } of sources) delivery.handleRumor(4, member);
    await peers.scheduler.advance(0);
    expect(replica.revision).toBe(4);
    expect(applied).toEqual([4]);
    expect(peers.calls).toHaveLength(1);
  });

  it('leaves the start of a daemon to the newcomer', async () => {
    const peers = new FakePeers();
    const replica = new MemoryPolicyReplica();
    const { scheduler, random } = peers;
    const onApplied = (): void => undefined;
    const delivery = new PolicyPuller({ replica, rpc: peers, scheduler, random, onApplied });
    delivery.handleRumor(4, peers.add(1, 4).member);
    await scheduler.advance(10_000);
    expect(peers.calls).toEqual([]);
  });

  it.each(['busy', 'silent', 'garbage'] as const)(
    'goes to another peer when one is %s',
    async (answer) => {
      const peers = new FakePeers();
      const bad = peers.add(1, 4);
      bad.answer = answer;
      const good = peers.add(2, 4);
      const { replica, delivery } = newDelivery(peers);
      delivery.handleRumor(4, bad.member);
      delivery.handleRumor(4, good.member);
      await peers.scheduler.advance(10_000);
      expect(replica.revision).toBe(4);
      expect(peers.calls.map(({ to }) => to)).toEqual(['vault-1', 'vault-2']);
    },
  );

  it('fetches what came while it was pulling', async () => {
    const peers = new FakePeers();
    const peer = peers.add(1, 4);
    const { replica, applied, delivery } = newDelivery(peers);
    delivery.handleRumor(4, peer.member);
    raise(peer.replica, 9);
    delivery.handleRumor(9, peer.member);
    await peers.scheduler.advance(10_000);
    expect(replica.revision).toBe(9);
    expect(applied.at(-1)).toBe(9);
  });

  it('never goes back, whatever peers say in whatever order', async () => {
    const rumours = fc.array(
      fc.record({
        peer: fc.integer({ min: 1, max: 4 }),
        revision: fc.integer({ min: 0, max: 20 }),
        answer: fc.constantFrom('served' as const, 'busy' as const, 'silent' as const),
        waitMs: fc.integer({ min: 0, max: 500 }),
      }),
      { maxLength: 20 },
    );
    await fc.assert(
      fc.asyncProperty(rumours, async (played) => {
        const peers = new FakePeers();
        const { replica, applied, delivery } = newDelivery(peers);
        const known = [1, 2, 3, 4].map((number) => peers.add(number, 0));
        for (const { peer, revision, answer, waitMs } of played) {
          const source = known[peer - 1];
          if (source === undefined) continue;
          source.answer = answer;
          if (revision > source.replica.revision) raise(source.replica, revision);
          delivery.handleRumor(source.replica.revision, source.member);
          await peers.scheduler.advance(waitMs);
        }
        expect(applied).toEqual([...applied].sort((left, right) => left - right));
        for (const peer of known) peer.answer = 'served';
        const greatest = known.reduce((left, right) =>
          left.replica.revision >= right.replica.revision ? left : right,
        );
        await peers.scheduler.advance(10_000);
        delivery.handleRumor(greatest.replica.revision, greatest.member);
        await peers.scheduler.advance(10_000);
        expect(replica.revision).toBe(greatest.replica.revision);
      }),
      { seed: 20_261_204, numRuns: 60 },
    );
  });
});
