import type { PolicyRecord } from '@daisyferry/model/policy';
import { storedRecordSchema } from '@daisyferry/policies/stored-policies';
import { describe, expect, it } from 'vitest';
import { policyDeltaSchema } from '../src/rpc-schemas';

const withdrawn: PolicyRecord = {
  revision: 1,
  service: 'teller',
  operationId: 'op-1',
  author: 'operator',
  acceptedAt: '2026-01-01T00:00:00.000Z',
  policy: null,
};

describe('policyDeltaSchema', () => {
  it('accepts records in the store format and strips the fields of the store', () => {
    const stored = storedRecordSchema.parse({ ...withdrawn, previousRevision: 0 });
    const delta = { fromRevision: 0, toRevision: 1, records: [stored] };
    expect(policyDeltaSchema.parse(delta).records).toEqual([withdrawn]);
  });
});
