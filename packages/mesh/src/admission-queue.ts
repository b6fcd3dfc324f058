import type { RefusalReasonName, TargetLoad } from './call';
import { RefusalReason } from './call';

/** A call that asks for one of the target's slots. */
export interface SlotRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until which an answer earns its full worth. */
  readonly usefulUntilMs: number;
  /** Time until which the caller waits. */
  readonly deadlineMs: number;
  start(nowMs: number): void;
  refuse(reason: RefusalReasonName, roomInMs: number): void;
}

interface Waiter {
  readonly request: SlotRequest;
  readonly order: number;
}

/** Weight of the newest sample in the mean service time. */
const SERVICE_TIME_GAIN = 0.05;
/** First guess of the time that a target takes for a request, in ms. */
const INITIAL_SERVICE_MS = 20;
/** Below this a wait counts as no wait: scheduling noise of the process, in ms. */
const MIN_PATIENCE_MS = 5;

/**
 * The calls that wait for one target. More urgent calls start first; among equals the one that came
 * first. A call is turned away as soon as the forecast of its wait leaves no time to serve it while
 * the answer is of full use.
 */
export class AdmissionQueue {
  private readonly waiting: Waiter[] = [];

  private runningCount = 0;

  private orderCounter = 0;

  private meanServiceMs = INITIAL_SERVICE_MS;

  constructor(private maxRunning: number) {}

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
      limit: this.maxRunning,
      serviceMs: this.meanServiceMs,
    };
  }

  /** Sets how many requests the target works on at the same time. */
  setLimit(limit: number, nowMs: number): void {
    this.maxRunning = Math.max(1, limit);
    this.startNext(nowMs);
  }

  /** Forecast of the time that a call which came now would wait for a slot. */
  get waitMs(): number {
    return this.waiting.length === 0 ? 0 : this.forecastMs(this.waiting.length);
  }

  /** Starts the request, lets it wait, or refuses it; all by calling back. */
  submit(request: SlotRequest, nowMs: number): void {
    if (this.runningCount < this.maxRunning && this.waiting.length === 0) {
      this.run(request, nowMs);
      return;
    }
    const ahead = this.countAhead(request.priority);
    const waitMs = this.forecastMs(ahead);
    if (waitMs > this.patienceMs(request, nowMs)) {
      request.refuse(RefusalReason.full, waitMs);
      return;
    }
    this.insert({ request, order: this.orderCounter++ });
    this.refuseHopeless(nowMs);
  }

  /** Takes a waiting request out; true if it was still waiting. */
  withdraw(request: SlotRequest): boolean {
    const index = this.waiting.findIndex((waiter) => waiter.request === request);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  /** A started request has ended after `serviceMs` at the target. */
  finished(serviceMs: number, isFailure: boolean, nowMs: number): void {
    this.runningCount -= 1;
    if (!isFailure) this.meanServiceMs += (serviceMs - this.meanServiceMs) * SERVICE_TIME_GAIN;
    this.startNext(nowMs);
  }

  /** Turns away what can no longer be served in time. Called often while calls wait. */
  refuseHopeless(nowMs: number): void {
    for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
      const { request } = this.waiting[index] as Waiter;
      const waitMs = this.forecastMs(index);
      if (waitMs > this.patienceMs(request, nowMs)) {
        this.waiting.splice(index, 1);
        const isExpired = request.deadlineMs <= nowMs;
        request.refuse(isExpired ? RefusalReason.expired : RefusalReason.full, waitMs);
      }
    }
  }

  /** Turns all waiting calls away, as the target takes no more work. */
  refuseAll(reason: RefusalReasonName): void {
    for (const { request } of this.waiting.splice(0)) request.refuse(reason, 0);
  }

  /** Time until a call behind `ahead` others can start. */
  private forecastMs(ahead: number): number {
    return ((ahead + 1) * this.meanServiceMs) / this.maxRunning;
  }

  /** Longest wait after which the request can still be served in time. */
  private patienceMs(request: SlotRequest, nowMs: number): number {
    const usefulMs = request.usefulUntilMs - nowMs - this.meanServiceMs;
    const possibleMs = request.deadlineMs - nowMs - this.meanServiceMs;
    return Math.min(possibleMs, Math.max(usefulMs, MIN_PATIENCE_MS));
  }

  private countAhead(priority: number): number {
    let ahead = this.waiting.length;
    while (ahead > 0 && (this.waiting[ahead - 1] as Waiter).request.priority > priority) ahead -= 1;
    return ahead;
  }

  private insert(waiter: Waiter): void {
    this.waiting.splice(this.countAhead(waiter.request.priority), 0, waiter);
  }

  private run(request: SlotRequest, nowMs: number): void {
    this.runningCount += 1;
    request.start(nowMs);
  }

  private startNext(nowMs: number): void {
    while (this.runningCount < this.maxRunning) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      if (next.request.deadlineMs <= nowMs) next.request.refuse(RefusalReason.expired, 0);
      else this.run(next.request, nowMs);
    }
  }
}
