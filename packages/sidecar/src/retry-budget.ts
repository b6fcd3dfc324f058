import { RetryRatioLimiter } from '@daisyferry/retries/retry-ratio-limiter';

/**
 * Levels of a call tree among which the allowed share is divided. A retried request repeats all its
 * nested calls, so that retries at each level above a service add to the load of that service.
 */
const CALL_TREE_LEVELS = 5;
/** Maximum share of the callers' requests that may be retried, however few they are. */
const MAX_CALLER_RETRY_RATIO = 0.6;
/** Part of the allowed share that callers may use where nested calls are the majority. */
const CALLER_PART_OF_RATIO = 0.2;

/** The origin of a request, by which retries are counted. */
export interface RequestOrigin {
  readonly service: string;
  /** True for a nested call, made by a target while it processes a request. */
  readonly isInternal: boolean;
}

export interface RetryOrigin extends RequestOrigin {
  /** Share of the service's requests that are nested calls, 0 to 1. */
  readonly internalShare: number;
}

export interface RetryBounds {
  /** Maximum retries of all daemons to a service, as a share of its requests. */
  readonly retryRatio: number;
  /** Retries for a service that all daemons may make beyond that share within ten seconds. */
  readonly retrySlack: number;
}

/**
 * Limits the retries of this daemon, so that those of all daemons to a service stay within a share
 * of its requests. Callers' requests are often few beside nested calls, and one retry saves a whole
 * request; they may therefore use a part of the share that all requests allow.
 */
export class RetryBudget {
  private readonly limiters = new Map<string, RetryRatioLimiter>();

  /**
   * `fleetSize` is the number of daemons known, this one included, which share the retries that are
   * allowed beyond the ratio.
   */
  constructor(
    private readonly bounds: () => RetryBounds,
    private readonly fleetSize: () => number,
  ) {}

  countRequest(origin: RequestOrigin, nowMs: number): void {
    this.limiterOf(origin).countFirstAttempt(nowMs);
  }

  tryRetry(origin: RetryOrigin, nowMs: number): boolean {
    return this.limiterOf(origin).tryRetry(this.allowedRatio(origin), nowMs);
  }

  /** Maximum share of the requests of this origin that may be retried. */
  allowedRatio({ isInternal, internalShare }: RetryOrigin): number {
    const { retryRatio } = this.bounds();
    const levelRatio = retryRatio / CALL_TREE_LEVELS;
    if (isInternal) return levelRatio;
    const callerShare = Math.max(Number.EPSILON, 1 - internalShare);
    const sharedRatio = (retryRatio * CALLER_PART_OF_RATIO * internalShare) / callerShare;
    return Math.min(MAX_CALLER_RETRY_RATIO, levelRatio + sharedRatio);
  }

  /**
   * Retries beyond its share that this daemon may make in a window of `RetryRatioLimiter`. Each
   * service has two limiters, for callers and for targets.
   */
  private burst(): number {
    return this.bounds().retrySlack / (2 * Math.max(1, this.fleetSize()));
  }

  private limiterOf({ service, isInternal }: RequestOrigin): RetryRatioLimiter {
    const key = `${isInternal ? 'targets' : 'callers'} ${service}`;
    const present = this.limiters.get(key);
    if (present !== undefined) return present;
    const limiter = new RetryRatioLimiter(() => this.burst());
    this.limiters.set(key, limiter);
    return limiter;
  }
}
