import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { PolicyRecord } from '@daisyferry/model/policy';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { policy, record } from './policy-fixtures';

function withdrawal(revision: number, service: string): PolicyRecord {
  return { ...record(revision, service), policy: null };
}

/** Accepted changes in order; each replaces or withdraws the policy of one of three services. */
const history = fc
  .array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()), { minLength: 1, maxLength: 12 })
  .map((changes) =>
    changes.map(([service, withdraws], index) =>
      withdraws ? withdrawal(index + 1, service) : record(index + 1, service, policy({ service })),
    ),
  );

/** What a daemon that applies `upTo` would send to one that applies `from`. */
function deltaBetween(records: readonly PolicyRecord[], from: number, upTo: number) {
  const holder = new MemoryPolicyReplica();
  holder.apply({ fromRevision: 0, toRevision: upTo, records: records.slice(0, upTo) });
  return holder.deltaSince(from);
}

describe('local policies', () => {
  it('withdraws a policy and passes the withdrawal on', () => {
    const replica = new MemoryPolicyReplica();
    replica.apply({ fromRevision: 0, toRevision: 1, records: [record(1, 'a')] });
    replica.apply({ fromRevision: 1, toRevision: 2, records: [withdrawal(2, 'a')] });
    expect(replica.policyOf('a')).toBeUndefined();
    expect(replica.deltaSince(0).records).toEqual([withdrawal(2, 'a')]);
  });

  it('is ready only when told so', () => {
    const replica = new MemoryPolicyReplica();
    expect(replica.ready).toBe(false);
    replica.markReady();
    expect(replica.ready).toBe(true);
  });

  it('ends at the same policies whatever deltas arrive in whatever order', () => {
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
          const truth = new MemoryPolicyReplica();
          truth.apply(deltaBetween(records, 0, replica.revision));
          expect(replica.allRecords()).toEqual(truth.allRecords());
        }
      }),
      { seed: 3, numRuns: 500 },
    );
  });
});
