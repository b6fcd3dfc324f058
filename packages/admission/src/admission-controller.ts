import { Outcome, RefusalReason } from '@daisyferry/model/outcome';
import type { RefusalReasonName } from '@daisyferry/model/outcome';
import type { LimitRule } from '@daisyferry/model/policy';
import { AdmissionCounters } from './admission-counters';
import { AdmissionError } from './admission-error';
import { AdmissionQueue } from './admission-queue';
import type { QueuedCall } from './admission-queue';
import type {
  AdmissionDecision,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionSnapshot,
  FinishReport,
} from './admission-request';
import { ConcurrencyLimit } from './concurrency-limit';
import { Mechanism } from './mechanism';
import type { MechanismName } from './mechanism';
import { PatienceTracker } from './patience-tracker';
import { MAX_THRESHOLD } from './priority';
import { ServiceTimes } from './service-times';
import { ServingOrder } from './serving-order';
import { ThresholdControl } from './threshold-control';

export type {
  AdmissionDecision,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionSnapshot,
  FinishReport,
} from './admission-request';

/** Mean slot occupancy assumed until the first call has finished. */
const ASSUMED_OCCUPANCY_MS = 10;

/** An admitted call that holds a slot. */
interface RunningCall {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
  readonly admittedAtMs: number;
}

/**
 * Admission control of one daemon for its target: decides which calls run now, which are queued and
 * which are refused. It gets the time as an argument and starts no timers. A call that the returned
 * decisions neither admit nor refuse is queued until a later method call decides it.
 */
export class AdmissionController {
  private limits: LimitRule;

  private readonly disabled: ReadonlySet<string>;

  private readonly limit: ConcurrencyLimit;

  private readonly thresholdControl: ThresholdControl;

  private readonly serviceTimes = new ServiceTimes();

  private readonly patience: PatienceTracker;

  private readonly queue = new AdmissionQueue();

  private readonly servingOrder: ServingOrder;

  private readonly queuedById = new Map<string, QueuedCall>();

  private readonly runningById = new Map<string, RunningCall>();

  private readonly counters = new AdmissionCounters();

  /** Earliest time at which a queued call may have to be refused. */
  private wakeAtMs = Number.POSITIVE_INFINITY;

  private slots: number;

  /** Latest time passed to a method that changes the queue. */
  private latestNowMs: number;

  constructor(
    private readonly options: AdmissionOptions,
    nowMs: number,
  ) {
    this.latestNowMs = nowMs;
    this.limits = options.limits;
    this.slots = options.slots;
    this.disabled = options.disabled ?? new Set();
    this.patience = options.patience ?? new PatienceTracker();
    this.servingOrder = new ServingOrder({
      queue: this.queue,
      serviceTimes: this.serviceTimes,
      patience: this.patience,
      disabled: this.disabled,
    });
    this.limit = new ConcurrencyLimit(
      {
        slots: options.slots,
        warmUpMs: options.limits.warmUpMs,
        isAdaptive: this.isEnabled(Mechanism.adaptiveLimit),
        hasWarmUp: this.isEnabled(Mechanism.warmUp),
      },
      nowMs,
    );
    this.thresholdControl = new ThresholdControl(nowMs);
  }

  /**
   * Offers a call. The returned decisions may concern this call and others; without a decision on
   * this call it is queued.
   */
  offer(request: AdmissionRequest, nowMs: number): readonly AdmissionDecision[] {
    if (this.queuedById.has(request.callId) || this.runningById.has(request.callId)) {
      throw new AdmissionError(`call ${request.callId} is already queued or running`);
    }
    this.counters.offered++;
    const decisions: AdmissionDecision[] = [];
    this.refuseExpired(nowMs, decisions);
    this.updateThreshold(nowMs);
    this.thresholdControl.recordArrival(request.rank, request.rootHash, this.backlogMs(nowMs));
    const reason = this.refusalReasonOf(request, nowMs);
    if (reason !== undefined) {
      decisions.push(this.refuse(request.callId, reason, nowMs));
    } else if (this.queue.length === 0 && this.hasFreeSlot(nowMs)) {
      decisions.push(this.admit({ request, offeredAtMs: nowMs }, nowMs));
    } else {
      this.enqueue(request, nowMs, decisions);
    }
    this.admitQueued(nowMs, decisions);
    return decisions;
  }

  /** Releases the slot of an admitted call; has no effect for a call that holds none. */
  finish(callId: string, report: FinishReport, nowMs: number): readonly AdmissionDecision[] {
    const call = this.runningById.get(callId);
    if (call === undefined) return [];
    this.runningById.delete(callId);
    this.counters.finished[report.kind]++;
    this.recordFinish(call, report, nowMs);
    return this.afterSlotFreed(nowMs);
  }

  /**
   * Withdraws a call whose caller disconnected: a queued call is refused with `caller-gone`, and an
   * admitted call that was not handed over releases its slot.
   */
  cancel(callId: string, nowMs: number): readonly AdmissionDecision[] {
    const queued = this.queuedById.get(callId);
    if (queued !== undefined) {
      this.queue.remove(queued);
      this.patience.observeAbandoned(queued.request.method, nowMs - queued.offeredAtMs, nowMs);
      const decisions: AdmissionDecision[] = [this.refuse(callId, RefusalReason.callerGone, nowMs)];
      this.refuseExpired(nowMs, decisions);
      this.admitQueued(nowMs, decisions);
      return decisions;
    }
    const running = this.runningById.get(callId);
    if (running === undefined) return [];
    this.runningById.delete(callId);
    this.patience.observeAbandoned(running.request.method, nowMs - running.offeredAtMs, nowMs);
    return this.afterSlotFreed(nowMs);
  }

  /** Refuses expired queued calls and fills the slots that the warm-up has opened. */
  tick(nowMs: number): readonly AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    this.refuseExpired(nowMs, decisions);
    this.updateThreshold(nowMs);
    this.admitQueued(nowMs, decisions);
    return decisions;
  }

  /** When `tick` must be called next; undefined while the queue is empty. */
  nextWakeAtMs(): number | undefined {
    return this.queue.length === 0 ? undefined : this.wakeAtMs;
  }

  /** Threshold to publish with every reply, in [1, 4]. */
  threshold(nowMs: number): number {
    this.updateThreshold(nowMs);
    return this.isEnabled(Mechanism.threshold) ? this.thresholdControl.threshold : MAX_THRESHOLD;
  }

  /** Calls in flight plus calls queued, divided by the concurrency limit. */
  load(): number {
    return (this.runningById.size + this.queue.length) / this.limit.current(this.latestNowMs);
  }

  /** Applies new limits and a new number of slots; calls in flight are not affected. */
  configure(limits: LimitRule, slots: number, nowMs: number): void {
    this.limits = limits;
    this.slots = slots;
    this.limit.configure(slots, limits.warmUpMs);
    this.wakeAtMs = nowMs;
  }

  /** Starts the warm-up of a cold target, during which its limit ramps up. */
  beginWarmUp(nowMs: number): void {
    this.limit.beginWarmUp(nowMs);
  }

  /** 10th percentile of the method's service time in ms; undefined until enough calls completed. */
  lowServiceQuantileMs(method: string): number | undefined {
    return this.serviceTimes.lowQuantileMs(method);
  }

  snapshot(nowMs: number): AdmissionSnapshot {
    return {
      limit: this.limit.current(nowMs),
      slots: this.slots,
      inFlight: this.runningById.size,
      queued: this.queue.length,
      threshold: this.threshold(nowMs),
      backlogMs: this.backlogMs(nowMs),
      meanOccupancyMs: this.serviceTimes.meanOccupancyMs(),
      offered: this.counters.offered,
      admitted: this.counters.admitted,
      finished: { ...this.counters.finished },
      refused: { ...this.counters.refused },
    };
  }

  private isEnabled(mechanism: MechanismName): boolean {
    return !this.disabled.has(mechanism);
  }

  private meanOccupancyMs(): number {
    return this.serviceTimes.meanOccupancyMs() ?? ASSUMED_OCCUPANCY_MS;
  }

  private drainTimeMs(calls: number, nowMs: number): number {
    return (calls * this.meanOccupancyMs()) / this.limit.current(nowMs);
  }

  private backlogMs(nowMs: number): number {
    return this.drainTimeMs(this.queue.length, nowMs);
  }

  /**
   * Target queueing delay. Its lower bound is the time to serve √limit calls: arrivals fluctuate by
   * about that number, and a shorter queue would leave slots idle.
   */
  private delayTargetMs(): number {
    const floorMs = this.meanOccupancyMs() / Math.sqrt(this.limit.current(this.latestNowMs));
    return Math.max(this.limits.queueDelayTargetMs, floorMs);
  }

  private updateThreshold(nowMs: number): void {
    if (!this.thresholdControl.isWindowOver(nowMs)) return;
    this.thresholdControl.closeElapsedWindows(nowMs, {
      backlogMs: this.backlogMs(nowMs),
      capacityPerMs: this.limit.current(nowMs) / this.meanOccupancyMs(),
      delayTargetMs: this.delayTargetMs(),
    });
  }

  private refusalReasonOf(request: AdmissionRequest, nowMs: number): RefusalReasonName | undefined {
    if (request.deadlineAtMs <= nowMs) return RefusalReason.deadlinePassed;
    if (nowMs >= this.latestStartMs(request)) return RefusalReason.doomed;
    if (!this.isEnabled(Mechanism.threshold)) return undefined;
    const isQueueShort = this.backlogMs(nowMs) < this.delayTargetMs();
    const isAdmitted = this.thresholdControl.admits(request.rank, request.rootHash, isQueueShort);
    return isAdmitted ? undefined : RefusalReason.shed;
  }

  /** Time from which a call that starts can no longer finish before its deadline. */
  private latestStartMs(request: AdmissionRequest): number {
    if (!this.isEnabled(Mechanism.doomed)) return request.deadlineAtMs;
    return request.deadlineAtMs - (this.serviceTimes.lowQuantileMs(request.method) ?? 0);
  }

  private enqueue(request: AdmissionRequest, nowMs: number, decisions: AdmissionDecision[]): void {
    const call: QueuedCall = { request, offeredAtMs: nowMs };
    this.queue.push(call);
    this.queuedById.set(request.callId, call);
    this.wakeAtMs = Math.min(this.wakeAtMs, this.queueExpiryMs(call));
    if (this.hasFreeSlot(nowMs)) return;
    while (this.queue.length > this.maxQueueLength(nowMs)) {
      const evicted = this.evict(nowMs);
      if (evicted === undefined) return;
      decisions.push(this.refuse(evicted.request.callId, RefusalReason.queueFull, nowMs));
    }
  }

  /** Number of calls that can be served at the current limit within the maximum queueing time. */
  private maxQueueLength(nowMs: number): number {
    const limit = this.limit.current(nowMs);
    return Math.max(1, Math.floor((this.limits.maxQueueMs * limit) / this.meanOccupancyMs()));
  }

  /** Removes the least critical queued call; undefined when only money calls are queued. */
  private evict(nowMs: number): QueuedCall | undefined {
    const rank = this.queue.leastCriticalRank();
    if (rank === undefined || rank === 0) return undefined;
    const isNewestFirst = this.servesNewestFirst(rank, nowMs);
    return this.queue.removeAt(rank, isNewestFirst ? 0 : this.queue.callsOfRank(rank).length - 1);
  }

  private queueExpiryMs(call: QueuedCall): number {
    const maxWaitEndMs = call.offeredAtMs + this.limits.maxQueueMs;
    return Math.min(maxWaitEndMs, this.latestStartMs(call.request));
  }

  private refuseExpired(nowMs: number, decisions: AdmissionDecision[]): void {
    this.latestNowMs = nowMs;
    if (nowMs < this.wakeAtMs) return;
    let wakeAtMs = Number.POSITIVE_INFINITY;
    const expired = this.queue.removeWhere((call) => {
      const expiryMs = this.queueExpiryMs(call);
      if (expiryMs <= nowMs) return true;
      wakeAtMs = Math.min(wakeAtMs, expiryMs);
      return false;
    });
    this.wakeAtMs = wakeAtMs;
    for (const call of expired) {
      decisions.push(this.refuse(call.request.callId, this.expiryReason(call, nowMs), nowMs));
    }
  }

  private expiryReason(call: QueuedCall, nowMs: number): RefusalReasonName {
    if (call.request.deadlineAtMs <= nowMs) return RefusalReason.deadlinePassed;
    if (this.latestStartMs(call.request) <= nowMs) return RefusalReason.doomed;
    return RefusalReason.queueFull;
  }

  private admitQueued(nowMs: number, decisions: AdmissionDecision[]): void {
    while (this.queue.length > 0 && this.hasFreeSlot(nowMs)) {
      const call = this.servingOrder.takeNext((rank) => this.servesNewestFirst(rank, nowMs), nowMs);
      if (call === undefined) return;
      this.queuedById.delete(call.request.callId);
      decisions.push(this.admit(call, nowMs));
    }
  }

  private hasFreeSlot(nowMs: number): boolean {
    return this.runningById.size < this.limit.current(nowMs);
  }

  private admit({ request, offeredAtMs }: QueuedCall, nowMs: number): AdmissionDecision {
    const { callId } = request;
    this.runningById.set(callId, { request, offeredAtMs, admittedAtMs: nowMs });
    this.limit.updateInFlight(this.runningById.size, nowMs);
    this.counters.admitted++;
    return { kind: 'admitted', callId, queuedMs: nowMs - offeredAtMs };
  }

  /** Whether the queueing delay of a class and the more critical ones exceeds its target. */
  private servesNewestFirst(rank: number, nowMs: number): boolean {
    if (!this.isEnabled(Mechanism.newestFirst)) return false;
    const delayMs = this.drainTimeMs(this.queue.lengthThroughRank(rank), nowMs);
    return delayMs > this.delayTargetMs();
  }

  private recordFinish(call: RunningCall, report: FinishReport, nowMs: number): void {
    const { method } = call.request;
    const occupancyMs = nowMs - call.admittedAtMs;
    const elapsedMs = nowMs - call.offeredAtMs;
    switch (report.kind) {
      case 'completed':
        this.serviceTimes.recordCompletion(method, occupancyMs);
        this.patience.observeResponse(method, elapsedMs, nowMs);
        break;
      case 'failed':
        this.patience.observeResponse(method, elapsedMs, nowMs);
        break;
      case 'abandoned':
        this.patience.observeAbandoned(method, elapsedMs, nowMs);
        break;
      case 'shedByTarget':
        this.limit.recordShed(nowMs);
        return;
      case 'notSent':
        return;
      default:
        throw new AdmissionError(`unknown finish report ${String(report.kind satisfies never)}`);
    }
    this.serviceTimes.recordOccupancy(occupancyMs);
    this.limit.recordResponse(occupancyMs, nowMs);
  }

  private afterSlotFreed(nowMs: number): readonly AdmissionDecision[] {
    this.limit.updateInFlight(this.runningById.size, nowMs);
    return this.tick(nowMs);
  }

  private refuse(callId: string, reason: RefusalReasonName, nowMs: number): AdmissionDecision {
    this.queuedById.delete(callId);
    this.counters.countRefused(reason);
    const refusal = {
      outcome: Outcome.notRun,
      reason,
      retryAfterMs: this.retryAfterMs(reason, nowMs),
    };
    return { kind: 'refused', callId, refusal };
  }

  /** Time in ms to drain the current backlog, with jitter so that callers do not retry together. */
  private retryAfterMs(reason: RefusalReasonName, nowMs: number): number {
    const baseMs = reason === RefusalReason.shed ? this.thresholdControl.retryAfterMs() : 0;
    const jitter = 0.5 + this.options.random();
    return Math.max(1, Math.ceil((baseMs + this.backlogMs(nowMs)) * jitter));
  }
}
