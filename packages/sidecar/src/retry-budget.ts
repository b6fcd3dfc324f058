import { RetryRatioLimiter } from '@daisyferry/retries/retry-ratio-limiter';

/**
 * Levels of a call tree that the allowed share is divided among: a request that is sent again makes
 * all its calls again, so retries at each level above a service count against that service as well.
 */
const TREE_LEVELS = 5;
/** Greatest share of the callers' requests that may be retried, however few they are. */
const MAX_CALLER_SHARE = 0.6;
/** Part of the allowed share that the callers' own requests may use where others are the most. */
const CALLER_PART = 0.2;

/** Where a request comes from, as far as retries are concerned. */
export interface RequestOrigin {
  readonly service: string;
  /** True for a call that a target makes while it works on a request. */
  readonly isInternal: boolean;
}

export interface RetryOrigin extends RequestOrigin {
  /** Share of the service's requests that are calls of targets, 0 to 1. */
  readonly internalShare: number;
}

/**
 * This daemon's part of the retries that all daemons together may send to a service. The callers'
 * own requests are often few beside the calls that targets make; they may use a part of the share of
 * all, as one retry saves a whole request of theirs.
 */
export class RetryBudget {
  private readonly shares = new Map<string, RetryRatioLimiter>();

  constructor(
    /** Retries of all daemons to a service, as a share of the requests for it. */
    private readonly ratio: number,
    /** Retries beyond the share that this daemon may make in one window. */
    private readonly burst: number,
  ) {}

  countRequest(origin: RequestOrigin, nowMs: number): void {
    this.share(origin).countFirstAttempt(nowMs);
  }

  tryRetry(origin: RetryOrigin, nowMs: number): boolean {
    return this.share(origin).tryRetry(this.ownRatio(origin), nowMs);
  }

  /** Share of the requests of this origin that may be retried. */
  ownRatio({ isInternal, internalShare }: RetryOrigin): number {
    const levelRatio = this.ratio / TREE_LEVELS;
    if (isInternal) return levelRatio;
    const others = Math.max(Number.EPSILON, 1 - internalShare);
    const common = (this.ratio * CALLER_PART * internalShare) / others;
    return Math.min(MAX_CALLER_SHARE, levelRatio + common);
  }

  private share({ service, isInternal }: RequestOrigin): RetryRatioLimiter {
    const key = `${isInternal ? 'targets' : 'callers'} ${service}`;
    const present = this.shares.get(key);
    if (present !== undefined) return present;
    const share = new RetryRatioLimiter(this.burst);
    this.shares.set(key, share);
    return share;
  }
}
