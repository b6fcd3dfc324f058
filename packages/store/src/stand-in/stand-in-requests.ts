import { z } from 'zod';
import { StoreFaultMode } from '../store-faults';

// Requests of etcd's JSON gateway, which writes 64-bit integers as strings.

const integerSchema = z.union([z.string().regex(/^\d+$/), z.int().min(0)]).transform(Number);
const leaseIdSchema = z.union([z.string(), z.int()]).transform(String);

const keyRangeSchema = z.object({ key: z.string(), range_end: z.string().optional() });

export const rangeRequestSchema = keyRangeSchema.extend({ limit: integerSchema.default(0) });

export type EncodedKeyRange = z.infer<typeof keyRangeSchema>;

const compareSchema = z.object({
  key: z.string(),
  target: z.literal('MOD'),
  result: z.literal('EQUAL').default('EQUAL'),
  mod_revision: integerSchema.default(0),
});

const writeSchema = z.union([
  z.object({
    request_put: z.object({
      key: z.string(),
      value: z.string().default(''),
      lease: leaseIdSchema.optional(),
    }),
  }),
  z.object({ request_delete_range: z.object({ key: z.string() }) }),
]);

export type EncodedWrite = z.infer<typeof writeSchema>;

export const transactRequestSchema = z.object({
  compare: z.array(compareSchema).default([]),
  success: z.array(writeSchema).default([]),
});

export const leaseGrantRequestSchema = z.object({ TTL: integerSchema });

export const leaseRequestSchema = z.object({ ID: leaseIdSchema });

export const watchRequestSchema = z.object({
  create_request: keyRangeSchema.extend({ start_revision: integerSchema.default(0) }),
});

export const faultsRequestSchema = z.strictObject({
  mode: z.enum(StoreFaultMode),
  /** Delay of each response in mode `slow`; at most ten minutes. */
  delayMs: z.number().min(0).max(600_000).default(0),
});

export const restoreRequestSchema = z.strictObject({
  /** Store revision to restore; by default the one before the last write. */
  storeRevision: integerSchema.optional(),
});
