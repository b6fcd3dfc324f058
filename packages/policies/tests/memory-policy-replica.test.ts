import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { PolicyRecord } from '@daisyferry/model/policy';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { servicePolicy, policyRecord } from './policy-fixtures';

function withdrawal(revision: number, service: string): PolicyRecord {
  return { ...policyRecord(revision, service), policy: null };
}

/** Accepted changes in order; each replaces or withdraws the policy of one of three services. */
const history = fc
  .array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), { minLength: 1, maxLength: 12 })
  .map((changes) =>
    changes.map(([service, withdraws], index) =>
      withdraws
        ? withdrawal(index + 1, service)
        : policyRecord(index + 1, service, servicePolicy({ service })),
    ),
  );

/** The delta that a daemon at `toRevision` sends to one at `fromRevision`. */
function deltaBetween(records: readonly PolicyRecord[], fromRevision: number, toRevision: number) {
  const sender = new MemoryPolicyReplica();
  sender.apply({ fromRevision: 0, toRevision, records: records.slice(0, toRevision) });
  return sender.deltaSince(fromRevision);
}

describe('memory policy replica', () => {
  it('withdraws a policy and includes the withdrawal in deltas', () => {
    const replica = new MemoryPolicyReplica();
    replica.apply({ fromRevision: 0, toRevision: 1, records: [policyRecord(1, 'a')] });
    replica.apply({ fromRevision: 1, toRevision: 2, records: [withdrawal(2, 'a')] });
    expect(replica.policyOf('a')).toBeUndefined();
    expect(replica.deltaSince(0).records).toEqual([withdrawal(2, 'a')]);
  });

  it('is ready only after markReady', () => {
    const replica = new MemoryPolicyReplica();
    expect(replica.ready).toBe(false);
    replica.markReady();
    expect(replica.ready).toBe(true);
  });

  it('converges to the same policies for any deltas in any order', () => {
    const deltas = fc.array(fc.tuple(fc.nat(12), fc.nat(12)), { maxLength: 30 });
    fc.assert(
      fc.property(history, deltas, (records, spans) => {
        const replica = new MemoryPolicyReplica();
        for (const [left, right] of spans) {
          const from = Math.min(left, right, records.length);
          const upTo = Math.min(Math.max(left, right), records.length);
          const before = replica.revision;
          const result = replica.apply(deltaBetween(records, from, upTo));
          expect(replica.revision).toBeGreaterThanOrEqual(before);
          const isNewer = upTo > before;
          const follows = from <= before;
          if (!isNewer) expect(result).toBe('stale');
          if (isNewer && !follows) expect(result).toBe('gap');
          if (isNewer && follows) expect(result).toBe('applied');
          expect(replica.revision).toBe(isNewer && follows ? upTo : before);
          const expectedReplica = new MemoryPolicyReplica();
          expectedReplica.apply(deltaBetween(records, 0, replica.revision));
          expect(replica.allRecords()).toEqual(expectedReplica.allRecords());
        }
      }),
      { seed: 3, numRuns: 500 },
    );
  });
});
