import { servicePolicySchema } from '@daisyferry/model/policy';
import { z } from 'zod';
import { memberRowSchema } from './member-row';
import { MAX_DIGEST_BITS } from './table-digest';

const MAX_MEMBERS_PER_QUERY = 1_024;
const revision = z.int().min(0);

export const policyDeltaParamsSchema = z.strictObject({ fromRevision: revision });

/** Strips unknown fields: peers may forward the store's record, which has more fields. */
const policyRecordSchema = z.object({
  revision,
  service: servicePolicySchema.shape.service,
  operationId: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  policy: servicePolicySchema.nullable(),
});

export const policyDeltaSchema = z.strictObject({
  fromRevision: revision,
  toRevision: revision,
  records: z.array(policyRecordSchema),
});

/** Requests the members whose references begin with the bits of `index`. */
export const membersSnapshotParamsSchema = z.strictObject({
  bits: z.int().min(0).max(MAX_DIGEST_BITS),
  index: z.int().min(0),
});

export const membersSnapshotSchema = z.strictObject({
  /** Members in the whole table, to choose the number of pages. */
  total: z.int().min(0),
  rows: z.array(memberRowSchema),
});

export const statusRevisionSchema = z.strictObject({ revision, ready: z.boolean() });

export const statusRevisionsParamsSchema = z.strictObject({
  revision,
  /** Members to query; absent for all members. */
  members: z.array(z.string()).max(MAX_MEMBERS_PER_QUERY).optional(),
});

/** Daemons that have not applied a revision. */
export const statusRevisionsSchema = z.strictObject({
  asked: z.int().min(0),
  lagging: z.array(z.strictObject({ name: z.string(), revision })),
  unreachable: z.array(z.string()),
});

export type StatusRevision = Readonly<z.infer<typeof statusRevisionSchema>>;
export type StatusRevisions = Readonly<z.infer<typeof statusRevisionsSchema>>;
export type MembersSnapshot = Readonly<z.infer<typeof membersSnapshotSchema>>;
