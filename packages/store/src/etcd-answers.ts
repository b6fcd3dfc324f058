import { z } from 'zod';

const headerSchema = z.object({ revision: z.string().optional() });

const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().optional(),
  mod_revision: z.string().optional(),
});

export const rangeAnswerSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

export const transactAnswerSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
});

export const leaseGrantAnswerSchema = z.object({ ID: z.string() });

/** The answer to a renewal; without a TTL the lease has lapsed. */
export const leaseRenewAnswerSchema = z.object({
  result: z.object({ TTL: z.string().optional() }),
});

export const emptyAnswerSchema = z.object({});

export const watchAnswerSchema = z.object({
  result: z.object({
    header: headerSchema.default({}),
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: z.string().optional(),
    events: z.array(z.object({ type: z.string().optional(), kv: keyValueSchema })).default([]),
  }),
});

export type WatchAnswer = z.infer<typeof watchAnswerSchema>['result'];
