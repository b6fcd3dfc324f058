import { z } from 'zod';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const MAX_DURATION_MS = 600_000;

const duration = z.int().min(1).max(MAX_DURATION_MS);

export const methodRuleSchema = z.strictObject({
  /** Unique within the service. */
  name: z.string().regex(NAME_PATTERN),
  /** HTTP method that the rule matches; absent for any method. */
  httpMethod: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).optional(),
  /** Path prefix that the rule matches, compared by whole segments. The longest match wins. */
  pathPrefix: z.string().startsWith('/').max(256),
  class: z.enum(['money', 'interactive', 'deferrable', 'background']),
  idempotent: z.boolean(),
  /** Time budget of a call whose caller sets none. */
  defaultDeadlineMs: duration,
  /** Longest time budget that a caller may request. */
  maxDeadlineMs: duration,
});

export const retryRuleSchema = z.strictObject({
  /** Retries that one root request may cause over its whole call tree. */
  tokensPerRoot: z.int().min(0).max(16),
  /** Maximum share of retries among the attempts of one daemon. */
  maxShare: z.number().min(0).max(0.5),
});

export const drainRuleSchema = z.strictObject({
  /** Time after which a leaving target receives no new calls. */
  noNewWorkAfterMs: z.int().min(0).max(60_000),
  /** Longest wait for in-flight requests before a planned stop reports them as unfinished. */
  maxWaitMs: duration,
  /** Maximum share of a service's targets that may be leaving at one time, unless forced. */
  maxLeavingShare: z.number().gt(0).max(1),
});

export const limitRuleSchema = z.strictObject({
  /** Queueing delay above which load is shed. */
  queueDelayTargetMs: z.int().min(1).max(10_000),
  /** Longest time that a call stays in the admission queue. */
  maxQueueMs: z.int().min(1).max(60_000),
  /** Time over which a cold target ramps up to its full limit. */
  warmUpMs: z.int().min(0).max(MAX_DURATION_MS),
});

export const ticketRuleSchema = z.strictObject({
  /** Time for which a ticket can be used and its record is kept. */
  lifetimeMs: duration,
  /** Largest response stored to answer a repeated call. */
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

/** One accepted change: the complete document of one service at one revision. */
export interface PolicyRecord {
  /** Position in the total order of accepted changes, starting at 1. */
  readonly revision: number;
  /** Service that the change is for; a withdrawal has no document to name it. */
  readonly service: string;
  /** Operation identifier from the operator's request; resolves the outcome of a lost response. */
  readonly operationId: string;
  readonly author: string;
  /** Wall-clock time of acceptance; for display only, no decision depends on it. */
  readonly acceptedAt: string;
  /** The document in force from this revision on; null withdraws the service's policy. */
  readonly policy: ServicePolicy | null;
}

/** The changes between two revisions: the latest record of each changed service. */
export interface PolicyDelta {
  /** The receiver must have applied at least this revision; 0 makes the delta a full snapshot. */
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly records: readonly PolicyRecord[];
}
