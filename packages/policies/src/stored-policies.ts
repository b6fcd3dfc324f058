import { servicePolicySchema } from '@daisyferry/model/policy';
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
  z.object({ state: z.literal('accepted'), revision, service: z.string(), digest: z.string() }),
  z.object({ state: z.literal('cancelled') }),
]);

export type StoredRecord = Readonly<z.infer<typeof storedRecordSchema>>;
export type StoredOperation = Readonly<z.infer<typeof storedOperationSchema>>;

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
