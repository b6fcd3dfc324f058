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
import { PatienceBook } from './patience';
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

/** Service time assumed before the first answer. */
const ASSUMED_SERVICE_MS = 10;

/** An admitted call that holds a slot. */
interface RunningCall {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
  readonly admittedAtMs: number;
}

/**
 * The admission of one daemon, in front of its target: decides which calls run now, which wait and
 * which are refused. Pure: time is an argument, and a call that is neither admitted nor refused by
 * the decisions returned is queued until a later call of any method decides it.
 */
export class AdmissionController {
  private limits: LimitRule;

  private readonly disabled: ReadonlySet<string>;

  private readonly limit: ConcurrencyLimit;

  private readonly control: ThresholdControl;

  private readonly times = new ServiceTimes();

  private readonly patience: PatienceBook;

  private readonly queue = new AdmissionQueue();

  private readonly order: ServingOrder;

  private readonly queuedById = new Map<string, QueuedCall>();

  private readonly runningById = new Map<string, RunningCall>();

  private readonly counters = new AdmissionCounters();

  /** Earliest time at which a queued call may have to be refused. */
  private wakeAtMs = Number.POSITIVE_INFINITY;

  private slots: number;

  /** Latest time given to any method. */
  private lastSeenMs: number;

  constructor(
    private readonly options: AdmissionOptions,
    nowMs: number,
  ) {
    this.lastSeenMs = nowMs;
    this.limits = options.limits;
    this.slots = options.slots;
    this.disabled = options.disabled ?? new Set();
    this.patience = options.patience ?? new PatienceBook();
    this.order = new ServingOrder({
      queue: this.queue,
      times: this.times,
      patience: this.patience,
      disabled: this.disabled,
    });
    this.limit = new ConcurrencyLimit(
      {
        slots: options.slots,
        warmUpMs: options.limits.warmUpMs,
        isAdaptive: this.isEnabled(Mechanism.adaptiveLimit),
        ramps: this.isEnabled(Mechanism.warmUp),
      },
      nowMs,
    );
    this.control = new ThresholdControl(nowMs);
  }

  /**
   * Offers a call. The decisions returned concern this call and any other; without one on this call
   * it is queued.
   */
  offer(request: AdmissionRequest, nowMs: number): readonly AdmissionDecision[] {
    if (this.queuedById.has(request.callId) || this.runningById.has(request.callId)) {
      throw new AdmissionError(`call ${request.callId} is already under admission`);
    }
    this.counters.offered++;
    const decisions: AdmissionDecision[] = [];
    this.expire(nowMs, decisions);
    this.rollThreshold(nowMs);
    this.control.noteArrival(request.rank, request.rootHash, this.backlogMs(nowMs));
    const reason = this.refusalOf(request, nowMs);
    if (reason !== undefined) {
      decisions.push(this.refuse(request.callId, reason, nowMs));
    } else if (this.queue.length === 0 && this.hasFreeSlot(nowMs)) {
      decisions.push(this.admit({ request, offeredAtMs: nowMs }, nowMs));
    } else {
      this.enqueue(request, nowMs, decisions);
    }
    this.admitWaiting(nowMs, decisions);
    return decisions;
  }

  /** Gives back the slot of an admitted call; a call that holds none changes nothing. */
  finish(callId: string, report: FinishReport, nowMs: number): readonly AdmissionDecision[] {
    const call = this.runningById.get(callId);
    if (call === undefined) return [];
    this.runningById.delete(callId);
    this.counters.finished[report.kind]++;
    this.learn(call, report, nowMs);
    return this.afterSlotFreed(nowMs);
  }

  /**
   * Withdraws a call whose caller is gone: a queued call is decided as refused for `caller-gone`, an
   * admitted call that was not handed over gives its slot back.
   */
  cancel(callId: string, nowMs: number): readonly AdmissionDecision[] {
    const queued = this.queuedById.get(callId);
    if (queued !== undefined) {
      this.queue.remove(queued);
      this.patience.observeGone(queued.request.method, nowMs - queued.offeredAtMs, nowMs);
      const decisions: AdmissionDecision[] = [this.refuse(callId, RefusalReason.callerGone, nowMs)];
      this.expire(nowMs, decisions);
      this.admitWaiting(nowMs, decisions);
      return decisions;
    }
    const running = this.runningById.get(callId);
    if (running === undefined) return [];
    this.runningById.delete(callId);
    this.patience.observeGone(running.request.method, nowMs - running.offeredAtMs, nowMs);
    return this.afterSlotFreed(nowMs);
  }

  /** Refuses queued calls whose time is over and fills slots that a ramp has opened. */
  tick(nowMs: number): readonly AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    this.expire(nowMs, decisions);
    this.rollThreshold(nowMs);
    this.admitWaiting(nowMs, decisions);
    return decisions;
  }

  /** When `tick` must be called next; undefined while the queue is empty. */
  nextWakeAtMs(): number | undefined {
    return this.queue.length === 0 ? undefined : this.wakeAtMs;
  }

  /** The threshold to publish on every answer, in [1, 4]. */
  threshold(nowMs: number): number {
    this.rollThreshold(nowMs);
    return this.isEnabled(Mechanism.threshold) ? this.control.threshold : MAX_THRESHOLD;
  }

  /** Calls in flight and queued divided by the limit. */
  load(): number {
    return (this.runningById.size + this.queue.length) / this.limit.current(this.lastSeenMs);
  }

  /** Applies another policy and another number of slots; calls in flight are left to finish. */
  configure(limits: LimitRule, slots: number, nowMs: number): void {
    this.limits = limits;
    this.slots = slots;
    this.limit.configure(slots, limits.warmUpMs);
    this.wakeAtMs = nowMs;
  }

  /** Starts the ramp of a cold target. */
  beginWarmUp(nowMs: number): void {
    this.limit.beginWarmUp(nowMs);
  }

  /** Service time in ms that nine in ten calls of the method exceed; undefined before it is known. */
  expectedServiceMs(method: string): number | undefined {
    return this.times.expectedMs(method);
  }

  snapshot(nowMs: number): AdmissionSnapshot {
    return {
      limit: this.limit.current(nowMs),
      slots: this.slots,
      inFlight: this.runningById.size,
      queued: this.queue.length,
      threshold: this.threshold(nowMs),
      backlogMs: this.backlogMs(nowMs),
      meanServiceMs: this.times.meanMs(),
      offered: this.counters.offered,
      admitted: this.counters.admitted,
      finished: { ...this.counters.finished },
      refused: { ...this.counters.refused },
    };
  }

  private isEnabled(mechanism: MechanismName): boolean {
    return !this.disabled.has(mechanism);
  }

  private meanServiceMs(): number {
    return this.times.meanMs() ?? ASSUMED_SERVICE_MS;
  }

  private drainMs(calls: number, nowMs: number): number {
    return (calls * this.meanServiceMs()) / this.limit.current(nowMs);
  }

  private backlogMs(nowMs: number): number {
    return this.drainMs(this.queue.length, nowMs);
  }

  /**
   * The queueing delay aimed at. Its floor is the time of as many calls as the root of the limit:
   * arrivals vary by about that many, and a shorter queue would leave slots idle.
   */
  private targetMs(): number {
    const floorMs = this.meanServiceMs() / Math.sqrt(this.limit.current(this.lastSeenMs));
    return Math.max(this.limits.queueDelayTargetMs, floorMs);
  }

  private rollThreshold(nowMs: number): void {
    if (!this.control.isDue(nowMs)) return;
    this.control.roll(nowMs, {
      backlogMs: this.backlogMs(nowMs),
      capacityPerMs: this.limit.current(nowMs) / this.meanServiceMs(),
      targetMs: this.targetMs(),
    });
  }

  private refusalOf(request: AdmissionRequest, nowMs: number): RefusalReasonName | undefined {
    if (request.deadlineAtMs <= nowMs) return RefusalReason.deadlinePassed;
    if (nowMs >= this.lastStartMs(request)) return RefusalReason.doomed;
    if (!this.isEnabled(Mechanism.threshold)) return undefined;
    const isQueueShort = this.backlogMs(nowMs) < this.targetMs();
    const passes = this.control.passes(request.rank, request.rootHash, isQueueShort);
    return passes ? undefined : RefusalReason.shed;
  }

  /** Time from which on the call can no longer finish before its deadline. */
  private lastStartMs(request: AdmissionRequest): number {
    if (!this.isEnabled(Mechanism.doomed)) return request.deadlineAtMs;
    return request.deadlineAtMs - (this.times.expectedMs(request.method) ?? 0);
  }

  private enqueue(request: AdmissionRequest, nowMs: number, decisions: AdmissionDecision[]): void {
    const call: QueuedCall = { request, offeredAtMs: nowMs };
    this.queue.push(call);
    this.queuedById.set(request.callId, call);
    this.wakeAtMs = Math.min(this.wakeAtMs, this.expiryMs(call));
    if (this.hasFreeSlot(nowMs)) return;
    while (this.queue.length > this.maxQueued(nowMs)) {
      const evicted = this.evict(nowMs);
      if (evicted === undefined) return;
      decisions.push(this.refuse(evicted.request.callId, RefusalReason.queueFull, nowMs));
    }
  }

  /** Calls that the limit can serve within the longest time in the queue. */
  private maxQueued(nowMs: number): number {
    const limit = this.limit.current(nowMs);
    return Math.max(1, Math.floor((this.limits.maxQueueMs * limit) / this.meanServiceMs()));
  }

  /** Takes out the call that matters least; undefined when only money calls wait. */
  private evict(nowMs: number): QueuedCall | undefined {
    const rank = this.queue.lastRank();
    if (rank === undefined || rank === 0) return undefined;
    const isNewestFirst = this.servesNewestFirst(rank, nowMs);
    return this.queue.takeAt(rank, isNewestFirst ? 0 : this.queue.ofRank(rank).length - 1);
  }

  private expiryMs(call: QueuedCall): number {
    const boundMs = call.offeredAtMs + this.limits.maxQueueMs;
    return Math.min(boundMs, this.lastStartMs(call.request));
  }

  private expire(nowMs: number, decisions: AdmissionDecision[]): void {
    this.lastSeenMs = nowMs;
    if (nowMs < this.wakeAtMs) return;
    let wakeAtMs = Number.POSITIVE_INFINITY;
    const expired = this.queue.removeWhere((call) => {
      const expiryMs = this.expiryMs(call);
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
    if (this.lastStartMs(call.request) <= nowMs) return RefusalReason.doomed;
    return RefusalReason.queueFull;
  }

  private admitWaiting(nowMs: number, decisions: AdmissionDecision[]): void {
    while (this.queue.length > 0 && this.hasFreeSlot(nowMs)) {
      const call = this.order.takeNext((rank) => this.servesNewestFirst(rank, nowMs), nowMs);
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
    this.limit.noteInFlight(this.runningById.size, nowMs);
    this.counters.admitted++;
    return { kind: 'admitted', callId, queuedMs: nowMs - offeredAtMs };
  }

  /** Newest first while the calls of a class and above wait longer than the target. */
  private servesNewestFirst(rank: number, nowMs: number): boolean {
    if (!this.isEnabled(Mechanism.newestFirst)) return false;
    const delayMs = this.drainMs(this.queue.lengthUpTo(rank), nowMs);
    return delayMs > this.targetMs();
  }

  private learn(call: RunningCall, report: FinishReport, nowMs: number): void {
    const { method } = call.request;
    const heldMs = nowMs - call.admittedAtMs;
    const elapsedMs = nowMs - call.offeredAtMs;
    switch (report.kind) {
      case 'completed':
        this.times.noteCompleted(method, heldMs);
        this.patience.observeAnswered(method, elapsedMs, nowMs);
        break;
      case 'failed':
        this.patience.observeAnswered(method, elapsedMs, nowMs);
        break;
      case 'abandoned':
        this.patience.observeGone(method, elapsedMs, nowMs);
        break;
      case 'shedByTarget':
        this.limit.noteShed(nowMs);
        return;
      case 'notSent':
        return;
      default:
        throw new AdmissionError(`unknown finish report ${String(report.kind satisfies never)}`);
    }
    this.times.noteOccupancy(heldMs);
    this.limit.noteAnswer(heldMs, nowMs);
  }

  private afterSlotFreed(nowMs: number): readonly AdmissionDecision[] {
    this.limit.noteInFlight(this.runningById.size, nowMs);
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

  /** Time in ms by which the present backlog has drained, spread so that callers do not return at once. */
  private retryAfterMs(reason: RefusalReasonName, nowMs: number): number {
    const baseMs = reason === RefusalReason.shed ? this.control.retryAfterMs() : 0;
    const spread = 0.5 + this.options.random();
    return Math.max(1, Math.ceil((baseMs + this.backlogMs(nowMs)) * spread));
  }
}
