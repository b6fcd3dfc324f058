import { servicePolicySchema, type PolicyRecord } from '@daisyferry/model/policy';
import { z } from 'zod';

const revision = z.int().min(1);

export const headSchema = z.object({ revision });

/** A record in the store, with the revision of the record it replaced. */
export const storedRecordSchema = z.object({
  revision,
  service: z.string(),
  operationId: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  policy: servicePolicySchema.nullable(),
  /** Revision of the service's record before this one; 0 for the first. */
  previousRevision: z.int().min(0),
});

/** State of an operation; a cancelled operation can no longer be accepted. */
export const storedOperationSchema = z.discriminatedUnion('state', [
  z.object({
    state: z.literal('accepted'),
    revision,
    service: z.string(),
    /** Absent after a store repair, because the replica does not know the full change request. */
    digest: z.string().optional(),
  }),
  z.object({ state: z.literal('cancelled') }),
]);

export type StoredRecord = Readonly<z.infer<typeof storedRecordSchema>>;
export type StoredOperation = Readonly<z.infer<typeof storedOperationSchema>>;

/** Converts to the record exchanged between daemons, without the store's own fields. */
export function toPolicyRecord({ previousRevision, ...record }: StoredRecord): PolicyRecord {
  return record;
}

/** Parses a stored value; returns undefined if it does not match the schema of this version. */
export function parseStoredValue<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  try {
    const result = schema.safeParse(JSON.parse(text));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}
