import { servicePolicySchema } from '@daisyferry/model/policy';
import { z } from 'zod';
import { memberRowSchema } from './member-row';
import { MAX_DIGEST_BITS } from './table-digest';

const MAX_MEMBERS_ASKED = 1_024;
const revision = z.int().min(0);

export const policyDeltaParamsSchema = z.strictObject({ fromRevision: revision });

/** Takes over only the fields that it knows: the store's record, which peers pass on, has more. */
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

/** Asks for the members whose references begin with the bits of `index`. */
export const membersSnapshotParamsSchema = z.strictObject({
  bits: z.int().min(0).max(MAX_DIGEST_BITS),
  index: z.int().min(0),
});

export const membersSnapshotSchema = z.strictObject({
  /** Members in the whole table, for the choice of the number of pages. */
  total: z.int().min(0),
  rows: z.array(memberRowSchema),
});

export const statusRevisionSchema = z.strictObject({ revision, ready: z.boolean() });

export const statusRevisionsParamsSchema = z.strictObject({
  revision,
  /** Members to ask; absent for all members. */
  members: z.array(z.string()).max(MAX_MEMBERS_ASKED).optional(),
});

/** Which daemons do not run a revision. */
export const statusRevisionsSchema = z.strictObject({
  asked: z.int().min(0),
  lagging: z.array(z.strictObject({ name: z.string(), revision })),
  unreachable: z.array(z.string()),
});

export type StatusRevision = Readonly<z.infer<typeof statusRevisionSchema>>;
export type StatusRevisions = Readonly<z.infer<typeof statusRevisionsSchema>>;
export type MembersSnapshot = Readonly<z.infer<typeof membersSnapshotSchema>>;
