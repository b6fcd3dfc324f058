import { RetryShare } from '@daisyferry/retries/retry-share';

/**
 * Levels of a call tree that the allowed share is divided among: a request that is sent again makes
 * all its calls again, so retries at each level above a service count against that service as well.
 */
const TREE_LEVELS = 5;

/** This daemon's part of the retries that all daemons together may send to a service. */
export class RetryBudget {
  private readonly shares = new Map<string, RetryShare>();

  private readonly ownRatio: number;

  constructor(
    ratio: number,
    /** Retries beyond the share that this daemon may make in one window. */
    private readonly burst: number,
  ) {
    this.ownRatio = ratio / TREE_LEVELS;
  }

  countRequest(service: string, nowMs: number): void {
    this.share(service).attempt(nowMs);
  }

  tryRetry(service: string, nowMs: number): boolean {
    return this.share(service).tryRetry(this.ownRatio, nowMs);
  }

  private share(service: string): RetryShare {
    const present = this.shares.get(service);
    if (present !== undefined) return present;
    const share = new RetryShare(this.burst);
    this.shares.set(service, share);
    return share;
  }
}
