export interface RetryBounds {
  /** Maximum retries of all daemons to a service, as a share of its requests. */
  readonly retryRatio: number;
  /** Retries for a service that all daemons may make beyond that share within ten seconds. */
  readonly retrySlack: number;
}

/** Levels of a call tree among which the allowed share is divided where a retry repeats calls. */
const CALL_TREE_LEVELS = 5;
/** Maximum share of the callers' requests that may be retried, however few they are. */
const MAX_CALLER_RETRY_RATIO = 0.6;
/** Part of the allowed share that callers may use where nested calls are the majority. */
const CALLER_PART = 0.2;
/** The same where the call tree ends and trees are as urgent as the callers' own requests. */
const CALLER_PART_BESIDE_URGENT_TREES = 0.1;

/** Part of the retries of nested calls that is planned: daemons do not need them evenly. */
export const PLANNED_PART = 0.9;

/** Requests for one service that share retries. */
export interface RetryOrigin {
  /** True for nested calls, made by a target while it processes a request. */
  readonly isInternal: boolean;
  /** Share of the service's requests that are nested calls, 0 to 1. */
  readonly internalShare: number;
  /** True if a run of the request makes calls itself, which a retry repeats. */
  readonly hasCallsBelow: boolean;
  /** True if callers' own requests are more urgent than the trees that depend on the service. */
  readonly areCallersFirst: boolean;
}

function callerPart({ hasCallsBelow, areCallersFirst }: RetryOrigin): number {
  return hasCallsBelow || areCallersFirst ? CALLER_PART : CALLER_PART_BESIDE_URGENT_TREES;
}

/** Maximum share of the nested calls that may be repeats, those of repeated runs included. */
export function maxRepeatRatio(areCallersFirst: boolean, { retryRatio }: RetryBounds): number {
  const callers = areCallersFirst ? CALLER_PART : CALLER_PART_BESIDE_URGENT_TREES;
  return retryRatio * (1 - callers);
}

/**
 * Maximum share of the requests of this origin that one entry may retry. A retried request repeats
 * all its nested calls, so that retries at each level above a service add to the load of that
 * service; nested calls that make none repeat least and have what the other levels and the callers
 * leave. Callers' requests are often few beside nested calls, and one retry saves a whole request;
 * they may therefore use a part of the share that all requests allow.
 */
export function maxRetryRatio(origin: RetryOrigin, bounds: RetryBounds): number {
  const { isInternal, internalShare, hasCallsBelow, areCallersFirst } = origin;
  const levelRatio = bounds.retryRatio / CALL_TREE_LEVELS;
  if (isInternal) return hasCallsBelow ? levelRatio : maxRepeatRatio(areCallersFirst, bounds);
  const callerShare = Math.max(Number.EPSILON, 1 - internalShare);
  const sharedRatio = (bounds.retryRatio * callerPart(origin) * internalShare) / callerShare;
  return Math.min(MAX_CALLER_RETRY_RATIO, levelRatio + sharedRatio);
}

/**
 * Retries beyond its share that one daemon may make in ten seconds, for each service and for callers
 * and nested calls separately.
 */
export function ownRetrySlack({ retrySlack }: RetryBounds, fleetSize: number): number {
  return retrySlack / (2 * Math.max(1, fleetSize));
}
