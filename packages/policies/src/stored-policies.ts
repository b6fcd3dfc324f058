import { servicePolicySchema, type PolicyRecord } from '@daisyferry/model/policy';
import { z } from 'zod';

const revision = z.int().min(1);

export const headSchema = z.object({ revision });

/** A record in the store, with the revision of the record that it replaced. */
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

/** What became of an operation; a cancelled one can never be accepted any more. */
export const storedOperationSchema = z.discriminatedUnion('state', [
  z.object({
    state: z.literal('accepted'),
    revision,
    service: z.string(),
    /** Absent after a repair of the store: the change that it was is no longer known whole. */
    digest: z.string().optional(),
  }),
  z.object({ state: z.literal('cancelled') }),
]);

export type StoredRecord = Readonly<z.infer<typeof storedRecordSchema>>;
export type StoredOperation = Readonly<z.infer<typeof storedOperationSchema>>;

/** The record as daemons pass it on, without what only the store needs. */
export function toPolicyRecord({ previousRevision, ...record }: StoredRecord): PolicyRecord {
  return record;
}

/** Reads a stored value; undefined when it is not what this version writes. */
export function parseStored<Schema extends z.ZodType>(
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
