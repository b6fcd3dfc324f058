import { z } from 'zod';

const headerSchema = z.object({ revision: z.string().optional() });

const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().optional(),
  mod_revision: z.string().optional(),
});

export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
});

export const leaseGrantResponseSchema = z.object({ ID: z.string() });

/** Response to a lease renewal; without a TTL the lease has expired. */
export const leaseRenewalResponseSchema = z.object({
  result: z.object({ TTL: z.string().optional() }),
});

export const emptyResponseSchema = z.object({});

export const watchResponseSchema = z.object({
  result: z.object({
    header: headerSchema.default({}),
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: z.string().optional(),
    events: z.array(z.object({ type: z.string().optional(), kv: keyValueSchema })).default([]),
  }),
});

export type EtcdWatchResult = z.infer<typeof watchResponseSchema>['result'];
