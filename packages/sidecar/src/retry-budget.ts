import {
  maxRepeatRatio,
  maxRetryRatio,
  ownRetrySlack,
  PLANNED_PART,
  type RetryBounds,
  type RetryOrigin,
} from '@daisyferry/mesh/retry-bounds';
import {
  ALLOWANCE_WINDOW_MS,
  LATEST_PART,
  RetryAllowanceWindow,
} from '@daisyferry/mesh/retry-allowance-window';

/** Requests that share retries: those for one service, from callers or from targets. */
export interface RequestOrigin {
  readonly service: string;
  /** True for a nested call, made by a target while it processes a request. */
  readonly isInternal: boolean;
  /** Number of priority classes in use that are less urgent than the root of the request. */
  readonly classesBelow: number;
}

/** Part of the nested retries that classes below the most urgent one may use. */
const LESS_URGENT_PART = 0.4;
/** How much faster than steadily they may use the nested retries of a window. */
const LESS_URGENT_HASTE = 2;
/** Nested retries of the last second that are always allowed within the window's. */
const MIN_LATEST_RETRIES = 4;

function keyOf({ service, isInternal }: Omit<RequestOrigin, 'classesBelow'>): string {
  return `${isInternal ? 'targets' : 'callers'} ${service}`;
}

interface OriginWindows {
  /** Requests of this daemon, and its own retries. */
  readonly own: RetryAllowanceWindow;
  /** Requests that are made by runs which are repeats themselves. */
  readonly inherited: RetryAllowanceWindow;
  /** `classesBelow` of the most urgent requests, and when the last of them came. */
  mostUrgentClass: number;
  mostUrgentAtMs: number;
}

/**
 * Limits the retries of this daemon, so that those of all daemons to a service stay within a share
 * of its requests. Calls of runs that are repeats themselves count as repeats. Of the retries of
 * nested calls, a part is kept for the most urgent class: trees of the others that have begun when
 * targets start to turn calls away would otherwise use up at once what the next ten seconds allow.
 */
export class RetryBudget {
  private readonly windows = new Map<string, OriginWindows>();

  /**
   * `fleetSize` is the number of daemons known, this one included, which share the retries that are
   * allowed beyond the ratio. `areCallersFirst` tells whether callers' own requests for a service are
   * more urgent than the trees that depend on it. `nestedPart` is the part of the allowed nested
   * retries that may be used: each daemon counts the window that favours it most, so that the sum
   * over all daemons may exceed the bound where entries do not plan with less.
   */
  constructor(
    private readonly bounds: () => RetryBounds,
    private readonly fleetSize: () => number,
    private readonly areCallersFirst: (service: string) => boolean = () => false,
    private readonly nestedPart = 1,
  ) {}

  /** `repeatShare` is the probability that the request is made by a run that is a repeat. */
  countRequest(origin: RequestOrigin, nowMs: number, repeatShare = 0): void {
    const windows = this.windowsOf(origin);
    const { own, inherited } = windows;
    own.countRequests(1, nowMs);
    const isForgotten = nowMs - windows.mostUrgentAtMs > ALLOWANCE_WINDOW_MS;
    if (origin.classesBelow >= windows.mostUrgentClass || isForgotten) {
      windows.mostUrgentClass = origin.classesBelow;
      windows.mostUrgentAtMs = nowMs;
    }
    if (repeatShare > 0) inherited.countRepeats(repeatShare, nowMs);
  }

  tryRetry(origin: RequestOrigin & RetryOrigin, nowMs: number): boolean {
    const { own, inherited, mostUrgentClass } = this.windowsOf(origin);
    const ratio = this.allowedRatio(origin);
    if (ratio <= 0) return false;
    const bounds = this.bounds();
    const slack = ownRetrySlack(bounds, this.fleetSize());
    const requests = own.allowanceRequests(nowMs);
    const retries = own.recentRepeats(nowMs) + 1;
    if (retries > ratio * requests + slack) return false;
    if (origin.isInternal) {
      const repeats = retries + inherited.recentRepeats(nowMs);
      const maxRatio = maxRepeatRatio(origin.areCallersFirst, bounds) * this.nestedPart;
      const allowed = maxRatio * requests + slack;
      if (repeats > allowed) return false;
      if (origin.classesBelow < mostUrgentClass) {
        const latest = own.latestRepeats(nowMs) + 1;
        const maxLatest = allowed * LATEST_PART * LESS_URGENT_HASTE;
        if (repeats > allowed * LESS_URGENT_PART) return false;
        if (latest > Math.max(MIN_LATEST_RETRIES, maxLatest)) return false;
      }
    }
    own.countRepeats(1, nowMs);
    return true;
  }

  /**
   * Part of the steady pace at which the nested calls to a service may be retried from now on, 0 to
   * 1: less after many retries, as they count for ten seconds.
   */
  nestedPace(service: string, nowMs: number): number {
    const windows = this.windows.get(keyOf({ service, isInternal: true }));
    if (windows === undefined) return 1;
    const bounds = this.bounds();
    const slack = ownRetrySlack(bounds, this.fleetSize());
    const allowed =
      maxRepeatRatio(this.areCallersFirst(service), bounds) * windows.own.allowanceRequests(nowMs) +
      slack -
      windows.inherited.recentRepeats(nowMs);
    return windows.own.pace(allowed * PLANNED_PART, nowMs);
  }

  /** Maximum share of the requests of this origin that may be retried. */
  allowedRatio(origin: RetryOrigin): number {
    return maxRetryRatio(origin, this.bounds());
  }

  private windowsOf(origin: Omit<RequestOrigin, 'classesBelow'>): OriginWindows {
    const key = keyOf(origin);
    const present = this.windows.get(key);
    if (present !== undefined) return present;
    const windows = {
      own: new RetryAllowanceWindow(),
      inherited: new RetryAllowanceWindow(),
      mostUrgentClass: 0,
      mostUrgentAtMs: Number.NEGATIVE_INFINITY,
    };
    this.windows.set(key, windows);
    return windows;
  }
}
