import { z } from 'zod';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const MAX_DURATION_MS = 600_000;

const duration = z.int().min(1).max(MAX_DURATION_MS);

export const methodRuleSchema = z.strictObject({
  /** Unique within the service. */
  name: z.string().regex(NAME_PATTERN),
  /** HTTP method that the rule matches; absent for any. */
  httpMethod: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).optional(),
  /** Path prefix that the rule matches, compared by whole segments. The longest match wins. */
  pathPrefix: z.string().startsWith('/').max(256),
  class: z.enum(['money', 'interactive', 'deferrable', 'background']),
  idempotent: z.boolean(),
  /** Budget of a call whose caller names none. */
  defaultDeadlineMs: duration,
  /** Longest budget that a caller may ask for. */
  maxDeadlineMs: duration,
});

export const retryRuleSchema = z.strictObject({
  /** Retries that one root request may cause over its whole call tree. */
  tokensPerRoot: z.int().min(0).max(16),
  /** Greatest share of retries among the attempts of one daemon. */
  maxShare: z.number().min(0).max(0.5),
});

export const drainRuleSchema = z.strictObject({
  /** Time after which a leaving target receives no new work. */
  noNewWorkAfterMs: z.int().min(0).max(60_000),
  /** Longest wait for requests in flight before a planned stop reports them. */
  maxWaitMs: duration,
  /** Share of a service that may leave at one time unless forced. */
  maxLeavingShare: z.number().gt(0).max(1),
});

export const limitRuleSchema = z.strictObject({
  /** Queueing delay at which load is shed. */
  queueDelayTargetMs: z.int().min(1).max(10_000),
  /** Longest time that a call stays in the admission queue. */
  maxQueueMs: z.int().min(1).max(60_000),
  /** Time over which a cold target ramps up to its full limit. */
  warmUpMs: z.int().min(0).max(MAX_DURATION_MS),
});

export const ticketRuleSchema = z.strictObject({
  /** Time for which a ticket can be used and its record is kept. */
  lifetimeMs: duration,
  /** Largest answer kept for a repeat. */
  maxAnswerBytes: z.int().min(0).max(1_048_576),
});

export const servicePolicySchema = z.strictObject({
  service: z.string().regex(NAME_PATTERN),
  methods: z.array(methodRuleSchema).min(1).max(200),
  retries: retryRuleSchema,
  drain: drainRuleSchema,
  limits: limitRuleSchema,
  tickets: ticketRuleSchema,
});

export type MethodRule = Readonly<z.infer<typeof methodRuleSchema>>;
export type RetryRule = Readonly<z.infer<typeof retryRuleSchema>>;
export type DrainRule = Readonly<z.infer<typeof drainRuleSchema>>;
export type LimitRule = Readonly<z.infer<typeof limitRuleSchema>>;
export type TicketRule = Readonly<z.infer<typeof ticketRuleSchema>>;
export type ServicePolicy = Readonly<z.infer<typeof servicePolicySchema>>;

/** One accepted change: the whole document of one service at one revision. */
export interface PolicyRecord {
  /** Position in the one total order of accepted changes, from 1. */
  readonly revision: number;
  /** Service that the change is for; a withdrawal has no document to name it. */
  readonly service: string;
  /** Identifier that the operator's call carried; settles lost answers. */
  readonly operationId: string;
  readonly author: string;
  /** Wall-clock time of acceptance, for people only; no decision uses it. */
  readonly acceptedAt: string;
  /** The document in force from this revision on; null withdraws the service's policy. */
  readonly policy: ServicePolicy | null;
}

/** Everything that changed between two revisions: the last record of each service changed. */
export interface PolicyDelta {
  /** The receiver must hold at least this revision; 0 makes the delta a whole snapshot. */
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly records: readonly PolicyRecord[];
}
