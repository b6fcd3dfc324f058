import type { AccountShares } from './account-shares';
import { ArrivalRateLimit } from './arrival-rate-limit';
import type { CallRefusalReasonName, TargetLoad } from './forwarded-call';
import { CallRefusalReason } from './forwarded-call';
import { ClassArrivals } from './class-arrivals';
import { FractionalLimit } from './fractional-limit';
import type { WaitingRequest, WaitingTerms } from './waiting-class';
import { WaitingLine } from './waiting-line';

/** A call that requests one of the target's slots. */
export interface SlotRequest extends WaitingRequest {
  /** Time until which the caller waits for the response. */
  readonly deadlineMs: number;
  start(nowMs: number): void;
  refuse(reason: CallRefusalReasonName, retryAfterMs: number): void;
}

/** Weight of the newest sample in the moving average of the service time. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.05;
/** Service time assumed until the first sample. */
const INITIAL_SERVICE_MS = 20;
/** Waits below this are treated as none, as they are scheduling noise of the process. */
const MIN_TOLERATED_WAIT_MS = 5;
const MAX_WAITING = 4_096;
/** Greatest share of the room that more urgent arrivals are assumed to take. */
const MAX_URGENT_SHARE = 0.99;
/** Less urgent requests that an arrival checks; the others are checked periodically. */
const CHECKED_BEHIND = 4;
const MS_PER_SECOND = 1_000;

/**
 * Admits calls to the slots of one target, at most at the rate that the target states, and queues
 * those that must wait, in the order of `WaitingLine`. Load that it answers: more calls than a target
 * can run, of classes and accounts that differ. A call is refused as soon as the calls ahead of it
 * leave no time to serve it while its response has its full value, and none starts that cannot end
 * before its deadline.
 */
export class TargetSlotQueue {
  private readonly waiting: WaitingLine<SlotRequest>;

  private readonly limit: FractionalLimit;

  private readonly arrivals = new ClassArrivals();

  private runningCount = 0;

  private meanServiceMs = INITIAL_SERVICE_MS;

  /**
   * Mean time that a call occupies a slot, also one that the target turned away or failed: a target
   * that says no at once has room again at once.
   */
  private meanSlotMs = INITIAL_SERVICE_MS;

  /** Mean absolute deviation of the service time from its mean. */
  private serviceDeviationMs = 0;

  constructor(
    maxRunning: number,
    private readonly arrivalLimit = new ArrivalRateLimit(),
    shares?: AccountShares,
  ) {
    this.limit = new FractionalLimit(maxRunning);
    this.waiting = new WaitingLine(shares);
  }

  get running(): number {
    return this.runningCount;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  load(): Pick<TargetLoad, 'running' | 'waiting' | 'limit' | 'serviceMs'> {
    return {
      running: this.runningCount,
      waiting: this.waiting.length,
      limit: this.concurrencyLimit(),
      serviceMs: this.meanServiceMs,
    };
  }

  /** Requests that are at the target at the same time, on average, when all its capacity is used. */
  private concurrencyLimit(): number {
    const { ratePerS } = this.arrivalLimit;
    if (ratePerS === undefined) return this.limit.value;
    return Math.min(this.limit.value, (ratePerS * this.meanServiceMs) / MS_PER_SECOND);
  }

  /** Sets how many requests the target may process at the same time, on average. */
  setLimit(limit: number, nowMs: number): void {
    this.limit.set(limit);
    this.startWaiting(nowMs);
  }

  /** Expected wait of a call that arrives now. */
  expectedWaitMs(nowMs: number): number {
    return this.waiting.length === 0 ? 0 : this.expectedWaitBehindMs(this.waiting.length, nowMs);
  }

  /** Mean time between two starts at the rate limit of the target; 0 without one. */
  get meanIntervalMs(): number {
    const { ratePerS } = this.arrivalLimit;
    return ratePerS === undefined ? 0 : MS_PER_SECOND / ratePerS;
  }

  /** Time until the next waiting call may start unless a slot is freed; undefined if none waits. */
  nextStartInMs(nowMs: number): number | undefined {
    const isWaitingForRate = this.waiting.length > 0 && this.limit.hasRoom(this.runningCount);
    return isWaitingForRate ? this.arrivalLimit.waitMs(1, nowMs) : undefined;
  }

  /** Starts, queues or refuses the request, by calling it back. */
  submit(request: SlotRequest, nowMs: number): void {
    const hasFreeSlot = this.limit.hasRoom(this.runningCount) && this.waiting.length === 0;
    if (hasFreeSlot && this.arrivalLimit.tryTake(nowMs)) {
      this.arrivals.record(request.priority, nowMs);
      this.startRequest(request, nowMs);
      return;
    }
    const ahead = this.waiting.countAhead(request, this.terms(nowMs));
    const waitMs = this.expectedWaitBehindMs(ahead, nowMs);
    const delayedMs = waitMs * this.delayFactor(request, nowMs);
    if (delayedMs > this.maxWaitMs(request, nowMs) || !this.makePlaceFor(request, waitMs)) {
      request.refuse(CallRefusalReason.full, waitMs);
      return;
    }
    this.arrivals.record(request.priority, nowMs);
    this.waiting.add(request);
    this.checkBehind(request.priority, nowMs);
  }

  /** Removes a waiting request. Returns true if it was still waiting. */
  remove(request: SlotRequest): boolean {
    return this.waiting.remove(request);
  }

  /** Frees the slot of a request that ended after `serviceMs` at the target. */
  recordFinished(serviceMs: number, isFailure: boolean, nowMs: number): void {
    this.runningCount -= 1;
    this.limit.recordEnd();
    this.meanSlotMs += (serviceMs - this.meanSlotMs) * SERVICE_TIME_SAMPLE_WEIGHT;
    if (!isFailure) this.recordServiceTime(serviceMs);
    this.startWaiting(nowMs);
  }

  /** Refuses waiting requests that can no longer be served in time. Called periodically. */
  refuseUnservable(nowMs: number): void {
    this.waiting.visit(this.terms(nowMs), (request, ahead) =>
      this.refuseIfUnservable(request, ahead, nowMs),
    );
  }

  /** Refuses all waiting requests, as the target accepts no more work. */
  refuseAll(reason: CallRefusalReasonName): void {
    for (const request of this.waiting.takeAll()) request.refuse(reason, 0);
  }

  /** Returns false if the line is full and no request in it is less urgent. */
  private makePlaceFor({ priority }: SlotRequest, waitMs: number): boolean {
    if (this.waiting.length < MAX_WAITING) return true;
    const other = this.waiting.givingWayTo(priority);
    if (other === undefined) return false;
    this.waiting.remove(other);
    other.refuse(CallRefusalReason.full, waitMs);
    return true;
  }

  /** Refuses the first requests behind an arrival of this priority if it leaves them no time. */
  private checkBehind(priority: number, nowMs: number): void {
    const behind = this.waiting.firstBehind(priority, CHECKED_BEHIND);
    const [first] = behind;
    if (first === undefined) return;
    const before = this.waiting.countMoreUrgent(first.priority);
    behind.forEach((other, index) => this.refuseIfUnservable(other, before + index, nowMs));
  }

  private recordServiceTime(serviceMs: number): void {
    const excessMs = serviceMs - this.meanServiceMs;
    this.meanServiceMs += excessMs * SERVICE_TIME_SAMPLE_WEIGHT;
    this.serviceDeviationMs +=
      (Math.abs(excessMs) - this.serviceDeviationMs) * SERVICE_TIME_SAMPLE_WEIGHT;
  }

  private terms(nowMs: number): WaitingTerms {
    return {
      serviceMs: this.meanServiceMs,
      safeServiceMs: this.meanServiceMs + this.serviceDeviationMs,
      nowMs,
    };
  }

  /** By how much more urgent arrivals prolong the wait, as they take their share of the room. */
  private delayFactor({ priority }: SlotRequest, nowMs: number): number {
    const perMs = this.arrivals.moreUrgentPerMs(priority, nowMs);
    const urgentShare = (perMs * this.meanSlotMs) / this.concurrencyLimit();
    return 1 / (1 - Math.min(MAX_URGENT_SHARE, urgentShare));
  }

  private refuseIfUnservable(request: SlotRequest, ahead: number, nowMs: number): void {
    const waitMs = this.expectedWaitBehindMs(ahead, nowMs);
    if (waitMs <= this.maxWaitMs(request, nowMs) || !this.waiting.remove(request)) return;
    const isExpired = request.deadlineMs <= nowMs;
    request.refuse(isExpired ? CallRefusalReason.expired : CallRefusalReason.full, waitMs);
  }

  /** Expected time until a request with `requestsAhead` others before it can start. */
  private expectedWaitBehindMs(requestsAhead: number, nowMs: number): number {
    const slotWaitMs = ((requestsAhead + 1) * this.meanSlotMs) / this.limit.value;
    return Math.max(slotWaitMs, this.arrivalLimit.waitMs(requestsAhead + 1, nowMs));
  }

  /** Maximum wait after which the request can still be served in time. */
  private maxWaitMs(request: SlotRequest, nowMs: number): number {
    const safeServiceMs = this.meanServiceMs + this.serviceDeviationMs;
    const usefulMs = request.usefulUntilMs - nowMs - safeServiceMs;
    const possibleMs = request.deadlineMs - nowMs - this.meanServiceMs;
    return Math.min(possibleMs, Math.max(usefulMs, MIN_TOLERATED_WAIT_MS));
  }

  private startRequest(request: SlotRequest, nowMs: number): void {
    this.limit.recordStart(this.runningCount);
    this.runningCount += 1;
    request.start(nowMs);
  }

  /** Starts the waiting requests that have a slot and that the rate allows. */
  startWaiting(nowMs: number): void {
    while (this.limit.hasRoom(this.runningCount)) {
      const next = this.waiting.next(this.terms(nowMs));
      if (next === undefined) return;
      if (next.deadlineMs - nowMs < this.meanServiceMs) {
        this.waiting.remove(next);
        const isExpired = next.deadlineMs <= nowMs;
        next.refuse(isExpired ? CallRefusalReason.expired : CallRefusalReason.full, 0);
      } else {
        if (!this.arrivalLimit.tryTake(nowMs)) return;
        this.waiting.remove(next);
        this.startRequest(next, nowMs);
      }
    }
  }
}
