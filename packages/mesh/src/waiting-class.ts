import type { AccountShares } from './account-shares';

/** A request that waits for room. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Name of the client account that the call belongs to; undefined without one. */
  readonly account?: string | undefined;
  /** Time until which the response has its full value. */
  readonly usefulUntilMs: number;
}

/** What the order within a class depends on. */
export interface WaitingTerms {
  /** Mean service time. */
  readonly serviceMs: number;
  /** Service time that most requests do not exceed. */
  readonly safeServiceMs: number;
  readonly nowMs: number;
}

/** The waiting requests of one account, the oldest first. */
interface Lane<R> {
  readonly account: string;
  readonly requests: Set<R>;
}

function firstOf<R>(requests: ReadonlySet<R>): R | undefined {
  return requests.values().next().value;
}

/**
 * The waiting requests of one priority class. Those that can still have their full value go first:
 * of the account that has used the least, in order of arrival. Those that cannot go last.
 */
export class WaitingClass<R extends WaitingRequest> {
  private readonly lanes = new Map<string, Lane<R>>();

  /** Requests whose useful time has passed while they waited. */
  private readonly late = new Set<R>();

  private count = 0;

  constructor(
    readonly priority: number,
    private readonly shares: AccountShares | undefined,
  ) {}

  get size(): number {
    return this.count;
  }

  add(request: R): void {
    const account = this.laneName(request);
    const lane = this.lanes.get(account) ?? { account, requests: new Set<R>() };
    this.lanes.set(account, lane);
    lane.requests.add(request);
    this.count += 1;
  }

  remove(request: R): boolean {
    const isRemoved = this.late.delete(request) || this.removeFromLane(request);
    if (isRemoved) this.count -= 1;
    return isRemoved;
  }

  /** The request that starts next. */
  next(terms: WaitingTerms): R | undefined {
    let best: R | undefined;
    let leastExcessMs = Number.POSITIVE_INFINITY;
    for (const lane of this.lanes.values()) {
      const first = this.firstUseful(lane, terms);
      const excessMs = this.excessMs(lane, terms);
      const isBetter =
        best === undefined ||
        excessMs < leastExcessMs ||
        (excessMs === leastExcessMs && (first?.usefulUntilMs ?? 0) < best.usefulUntilMs);
      if (first !== undefined && isBetter) {
        best = first;
        leastExcessMs = excessMs;
      }
    }
    return best ?? firstOf(this.late);
  }

  /** Number of requests of this class that are expected to start before one that arrives now. */
  countAhead(request: R, terms: WaitingTerms): number {
    if (request.usefulUntilMs - terms.nowMs < terms.safeServiceMs) return this.count;
    const name = this.laneName(request);
    const own = this.lanes.get(name) ?? { account: name, requests: new Set<R>() };
    return this.aheadInLanes(own, own.requests.size, terms);
  }

  /** Visits each request with the number of requests of this class that start before it. */
  visit(terms: WaitingTerms, visitor: (request: R, ahead: number) => void): void {
    for (const lane of [...this.lanes.values()]) {
      let ahead = 0;
      for (const request of [...lane.requests]) {
        visitor(request, this.aheadInLanes(lane, ahead, terms));
        if (lane.requests.has(request)) ahead += 1;
      }
    }
    for (const request of [...this.late]) visitor(request, this.count - 1);
  }

  /** The first requests of the lanes, at most this many. */
  firstFew(count: number): R[] {
    const few: R[] = [];
    for (const { requests } of this.lanes.values()) {
      for (const request of requests) {
        if (few.length >= count) return few;
        few.push(request);
      }
    }
    return few;
  }

  all(): R[] {
    return [...[...this.lanes.values()].flatMap(({ requests }) => [...requests]), ...this.late];
  }

  private laneName({ account }: R): string {
    return this.shares === undefined ? '' : (account ?? '');
  }

  private removeFromLane(request: R): boolean {
    const lane = this.lanes.get(this.laneName(request));
    if (lane?.requests.delete(request) !== true) return false;
    if (lane.requests.size === 0) this.lanes.delete(lane.account);
    return true;
  }

  /** Moves requests whose useful time has passed behind the others; each is moved once at most. */
  private firstUseful({ account, requests }: Lane<R>, { safeServiceMs, nowMs }: WaitingTerms) {
    let first = firstOf(requests);
    while (first !== undefined && first.usefulUntilMs - nowMs < safeServiceMs) {
      requests.delete(first);
      this.late.add(first);
      first = firstOf(requests);
    }
    if (first === undefined) this.lanes.delete(account);
    return first;
  }

  private excessMs({ account }: Lane<R>, { nowMs }: WaitingTerms): number {
    return account === '' ? 0 : (this.shares?.excessMs(account, nowMs) ?? 0);
  }

  /**
   * Requests before the one at this position of a lane. Each start adds the service time to what its
   * account has used, so that the accounts take turns once they have used the same.
   */
  private aheadInLanes(own: Lane<R>, position: number, terms: WaitingTerms): number {
    if (this.lanes.size <= 1 && this.lanes.get(own.account) === own) return position;
    const ownMs = this.excessMs(own, terms);
    let ahead = position;
    for (const lane of this.lanes.values()) {
      if (lane.account !== own.account) {
        const startsFirst = (ownMs - this.excessMs(lane, terms)) / terms.serviceMs + position;
        ahead += Math.min(lane.requests.size, Math.max(0, Math.ceil(startsFirst)));
      }
    }
    return ahead;
  }
}
