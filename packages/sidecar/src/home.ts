import type {
  Attempt,
  ForwardedCallOutcome,
  CallReply,
  ForwardedCall,
  CallRefusalReasonName,
  TargetLoad,
} from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import type { StopCall } from '@daisyferry/mesh/stop-plan';
import type { GateDecision } from '@daisyferry/mesh/suspect-gate';
import type { ExecutionRecord } from '@daisyferry/mesh/execution-record';
import type { TargetIncarnation, TargetNotice } from '@daisyferry/mesh/target-notice';
import type { InboundCall } from '@daisyferry/peering/inbound-peer';
import { parentIdOf, type NestedOrigin } from '@daisyferry/mesh/nested-origin';
import { TargetCrashDetection, type LostCall } from './target-crash-detection';
import {
  TargetCall,
  refusedOutcome,
  type TargetCallHost,
  type SidecarHomeParts,
} from './target-call';

/** Maximum number of requests in the log line of a crash. */
const MAX_LOGGED_SUSPECTS = 8;
/** Time between two checks of the waiting and running calls. */
const SWEEP_INTERVAL_MS = 25;
/** Returned for a call that has its outcome; cancelling it has no effect. */
const SETTLED_CALL: InboundCall = {
  cancel: () => undefined,
  connectionLost: () => undefined,
};

const EXPIRED_REPLY: CallReply = {
  outcome: { kind: 'unknown', detail: 'the answer is no longer held' },
  load: undefined,
};

/** Reply to an attempt with the id of an earlier one, which may have run. */
const REUSED_ID_REPLY: CallReply = {
  outcome: { kind: 'unknown', detail: 'the request id belongs to another attempt' },
  load: undefined,
};

const BARRED_REPLY: CallReply = {
  outcome: refusedOutcome(CallRefusalReason.barred, 0),
  load: undefined,
};

type OpenedCall =
  /** An attempt that the home sees for the first time, with its record if it has one. */
  | { readonly kind: 'new'; readonly record: ExecutionRecord | undefined }
  /** An attempt whose id is barred, or that another attempt has used; it was replied to. */
  | { readonly kind: 'replied' };

/**
 * The home side of the sidecar daemon: admits the calls of entries to the local target and sends
 * them to it.
 */
export class Home implements TargetCallHost {
  private readonly activeCalls = new Set<TargetCall>();

  /** The active calls that have an execution record, by their attempt's id. */
  private readonly recordedCalls = new Map<string, TargetCall>();

  /** The calls that were sent to the target and have not ended, by the id of the request. */
  private readonly runningCalls = new Map<string, TargetCall>();

  private sweepTimer: NodeJS.Timeout | undefined;

  private startTimer: NodeJS.Timeout | undefined;

  private isClosing = false;

  private crashes = 0;

  private readonly crashDetection: TargetCrashDetection;

  constructor(readonly parts: SidecarHomeParts) {
    this.crashDetection = new TargetCrashDetection({
      probe: (onResult) => parts.pool.probe(onResult),
      isEndExpected: () => parts.target.isEndExpected,
      runningCalls: () => new Set([...this.activeCalls].filter(({ isRunning }) => isRunning)),
      onCrash: (lostCalls) => {
        this.recordCrash(lostCalls);
        this.markTargetUnreachable('target crashed');
      },
      onEarlierCrash: (lostCalls) => this.recordCrash(lostCalls),
      clock: parts.clock,
    });
  }

  get activeCount(): number {
    return this.activeCalls.size;
  }

  /** Calls that wait for a slot of the target. */
  get waitingCount(): number {
    return this.parts.queue.waitingCount;
  }

  /** Crashes of the local target since the start of the daemon. */
  get crashCount(): number {
    return this.crashes;
  }

  /** Refuses new calls from now on; calls in progress are finished. */
  close(): void {
    this.isClosing = true;
  }

  /** Refuses the calls that wait for a slot, which have not run, and new ones from now on. */
  refuseWaiting(): void {
    this.close();
    this.parts.queue.refuseAll(CallRefusalReason.leaving);
  }

  /** Ends all calls in progress with an unknown outcome, as the daemon exits. */
  breakOff(): void {
    this.refuseWaiting();
    for (const call of [...this.activeCalls]) call.breakOff();
  }

  submit(call: ForwardedCall, body: Buffer, deliver: (reply: CallReply) => void): InboundCall {
    const nowMs = this.parts.clock();
    this.parts.routeCallers.recordCall(call.route, call.callerService, nowMs);
    const refusalReason = this.refusalReasonFor(call, nowMs);
    const opened = this.openRecord(call, deliver, nowMs);
    if (opened.kind === 'replied') return SETTLED_CALL;
    const { record } = opened;
    const targetCall = new TargetCall(call, body, deliver, record, this, nowMs);
    if (refusalReason !== undefined) {
      targetCall.refuse(refusalReason, 0);
      return targetCall;
    }
    if (call.targetRatePerS !== undefined) {
      this.parts.arrivalLimit.applyReport(call.targetRatePerS, nowMs);
    }
    this.activeCalls.add(targetCall);
    if (record !== undefined) this.recordedCalls.set(call.requestId, targetCall);
    this.parts.queue.submit(targetCall, nowMs);
    if (this.activeCalls.size > 0) this.scheduleSweep();
    this.scheduleStart(nowMs);
    return targetCall;
  }

  /**
   * Replies with the outcome of a call to an entry whose connection broke after sending it. Returns
   * the call if it is still in progress.
   */
  resolve(attempt: Attempt, deliver: (reply: CallReply) => void): InboundCall | undefined {
    const { executionRecords, log, clock } = this.parts;
    const { requestId } = attempt;
    const record = executionRecords.resolve(attempt, clock());
    const isOwn = record.isOf(attempt);
    log.decision('outcome of an attempt queried', { requestId, state: record.state, isOwn });
    if (isOwn && record.reply !== undefined) deliver(record.reply);
    else if (record.state === 'barred') deliver(BARRED_REPLY);
    else if (!isOwn) deliver(REUSED_ID_REPLY);
    else if (record.isOpen) record.redirectReply(deliver);
    else deliver(EXPIRED_REPLY);
    return isOwn ? this.recordedCalls.get(requestId) : undefined;
  }

  buildReply(outcome: ForwardedCallOutcome, call: ForwardedCall): CallReply {
    const { queue, capacity, refusedShare, routeCallers, callTrees, clock } = this.parts;
    const { route } = call;
    const nowMs = clock();
    const load: TargetLoad = {
      ...queue.load(),
      level: this.effectiveShedLevel(nowMs),
      internalShare: routeCallers.internalShare(nowMs),
      isInternal: routeCallers.isInternal(route),
      routeMs: capacity.pace.routeMs(route, nowMs),
      refusedShare: refusedShare.share(nowMs),
      notice: this.noticeFor(call),
    };
    return { outcome, load, needs: callTrees.needsForReply(route, nowMs) };
  }

  /** What the target states, where it states something or the entry has an earlier statement. */
  private noticeFor({ targetId, targetRatePerS }: ForwardedCall): TargetNotice | undefined {
    const { notices, target } = this.parts;
    const { notice } = notices;
    if (notice === undefined || target.announcement?.targetId !== targetId) return undefined;
    const isNews =
      notice.isLeaving || notice.ratePerS !== undefined || targetRatePerS !== undefined;
    return isNews ? notice : undefined;
  }

  /** Shed level that the entries apply: the maximum of the local and the downstream levels. */
  effectiveShedLevel(nowMs: number): number {
    const { shedLevel, downstreamLevels } = this.parts;
    return Math.max(shedLevel.value, downstreamLevels.maxLevel(nowMs));
  }

  /** A target that is full, or that states a rate limit, turns calls away for that reason. */
  recordTurn(isRefusal: boolean, nowMs: number): void {
    const { queue, target, arrivalLimit, refusedShare } = this.parts;
    const hasRoom = queue.running <= (target.announcement?.slots ?? 0);
    if (hasRoom && arrivalLimit.ratePerS === undefined) refusedShare.record(isRefusal, nowMs);
  }

  addRunning(call: TargetCall): void {
    this.runningCalls.set(call.requestId, call);
  }

  /** The run of the local target that makes the call with this id; undefined if it is not known. */
  originOf(requestId: string): NestedOrigin | undefined {
    const parentId = parentIdOf(requestId);
    return parentId === undefined ? undefined : this.runningCalls.get(parentId);
  }

  removeCall(call: TargetCall): void {
    this.activeCalls.delete(call);
    if (this.runningCalls.get(call.requestId) === call) this.runningCalls.delete(call.requestId);
    if (this.recordedCalls.get(call.requestId) === call) this.recordedCalls.delete(call.requestId);
  }

  admitSuspect({ service, fingerprint }: TargetCall, nowMs: number): GateDecision {
    const isApartRunning = () => [...this.activeCalls].some(({ isApart }) => isApart);
    return this.parts.suspectGate.admit({ service, fingerprint, isApartRunning }, nowMs);
  }

  recordAnswer(call: TargetCall, nowMs: number): void {
    const { suspects, onCrashReports } = this.parts;
    if (!suspects.isEmpty) onCrashReports(suspects.recordAnswer(call.fingerprint, nowMs));
  }

  handleLostCall(call: LostCall): void {
    this.crashDetection.handleLost(call);
  }

  /** Drops what was learnt of the previous target, as another one has taken its place. */
  forgetTarget(wasEndExpected: boolean): void {
    this.crashDetection.handleReplaced(wasEndExpected);
    this.parts.pool.destroyIdle();
    this.parts.capacity.clear();
    this.parts.queue.setLimit(this.parts.capacity.limit, this.parts.clock());
    this.parts.refusedShare.clear();
    this.parts.callTrees.forgetTarget();
    this.parts.notices.reset();
    this.parts.arrivalLimit.reset();
  }

  applyNotice(fields: readonly string[], incarnation: TargetIncarnation): void {
    const { target, notices, arrivalLimit, queue, clock, onTargetChange } = this.parts;
    // An answer may come from a target that another one has replaced since.
    if (!target.isPresent(incarnation)) return;
    const nowMs = clock();
    const { ratePerS, isLeaving } = notices.record(fields, incarnation.targetId);
    if (isLeaving && target.markLeaving()) {
      queue.refuseAll(CallRefusalReason.leaving);
      onTargetChange();
    }
    arrivalLimit.applyStatement(ratePerS, nowMs);
    queue.startWaiting(nowMs);
  }

  /** Stops sending calls to the target, as it refuses connections or does not respond. */
  markTargetUnreachable(detail: string): void {
    if (!this.parts.target.markUnreachable()) return;
    this.parts.log.stateChange('target unreachable', { detail });
    this.parts.queue.refuseAll(CallRefusalReason.unreachable);
    this.parts.onTargetChange();
  }

  /** Resumes sending calls to the target if it was unreachable, as it has responded. */
  markTargetReachable(): void {
    if (!this.parts.target.markReachable()) return;
    this.parts.log.stateChange('target reachable again');
    this.parts.onTargetChange();
  }

  private recordCrash(lostCalls: readonly LostCall[]): void {
    const { log, target, suspects, onCrashReports, clock } = this.parts;
    const nowMs = clock();
    this.crashes += 1;
    const reports = suspects.recordCrash(lostCalls, nowMs);
    log.stateChange('target crashed', {
      targetId: target.announcement?.targetId,
      count: lostCalls.length,
      suspects: lostCalls.slice(0, MAX_LOGGED_SUSPECTS).map(({ requestId, fingerprint }) => ({
        requestId,
        fingerprint,
        crashes: suspects.evidenceOf(fingerprint).crashes,
      })),
    });
    onCrashReports(reports);
  }

  private refusalReasonFor(call: ForwardedCall, nowMs: number): CallRefusalReasonName | undefined {
    const { target, stopPlan } = this.parts;
    if (this.isClosing) return CallRefusalReason.leaving;
    const { announcement } = target;
    if (announcement?.targetId !== call.targetId || announcement.service !== call.service) {
      return CallRefusalReason.notHere;
    }
    const mayAccept =
      target.isServing &&
      (!stopPlan.hasBegun || stopPlan.mayAcceptCall(this.stopCallOf(call, nowMs), nowMs));
    return mayAccept ? undefined : CallRefusalReason.leaving;
  }

  /** What decides whether a call that arrives now is accepted during a stop. */
  private stopCallOf({ route, remainingMs, isIdempotent }: ForwardedCall, nowMs: number): StopCall {
    const { queue, capacity } = this.parts;
    const waitMs = queue.expectedWaitMs(nowMs);
    const serviceMs = capacity.pace.routeMs(route, nowMs) ?? queue.load().serviceMs;
    const longestMs = waitMs + capacity.pace.longestMs(route, nowMs);
    return { expectedMs: waitMs + serviceMs, longestMs, remainingMs, isIdempotent };
  }

  private openRecord(
    call: ForwardedCall,
    deliver: (reply: CallReply) => void,
    nowMs: number,
  ): OpenedCall {
    if (call.isIdempotent) return { kind: 'new', record: undefined };
    const { requestId, route } = call;
    const { kind, record } = this.parts.executionRecords.open(call, deliver, nowMs);
    if (kind === 'opened') return { kind: 'new', record };
    // An entry sends an attempt once, so that the outcome on record is not this call's.
    this.parts.log.decision('call with the id of an earlier one', {
      requestId,
      route,
      state: record.state,
    });
    deliver(record.state === 'barred' ? BARRED_REPLY : REUSED_ID_REPLY);
    return { kind: 'replied' };
  }

  /** Starts the next waiting call as soon as the rate limit of the target allows it. */
  private scheduleStart(nowMs: number): void {
    if (this.startTimer !== undefined) return;
    const { queue, clock } = this.parts;
    const delayMs = queue.nextStartInMs(nowMs);
    if (delayMs === undefined) return;
    this.startTimer = setTimeout(
      () => {
        this.startTimer = undefined;
        queue.startWaiting(clock());
        this.scheduleStart(clock());
      },
      Math.max(1, Math.ceil(delayMs)),
    );
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      try {
        this.sweep(this.parts.clock());
      } finally {
        const nowMs = this.parts.clock();
        const isNeeded =
          this.activeCalls.size > 0 ||
          this.effectiveShedLevel(nowMs) > 0 ||
          this.parts.callTrees.hasShortages(nowMs);
        if (isNeeded) this.scheduleSweep();
      }
    }, SWEEP_INTERVAL_MS);
  }

  private updateCapacity(nowMs: number): void {
    const { queue, capacity, arrivalLimit, nestedCallCount, log } = this.parts;
    const { running, waitingCount: waiting } = queue;
    const isRateLimited = arrivalLimit.ratePerS !== undefined;
    const observation = { running, waiting, nested: nestedCallCount(), isRateLimited };
    const change = capacity.update(observation, nowMs);
    if (change === undefined) return;
    log.stateChange('capacity of the target', { ...change });
    queue.setLimit(change.limit, nowMs);
  }

  private sweep(nowMs: number): void {
    const { queue, shedLevel, classCount, levelThrottle, onShedLevel, unresponsiveDetector } =
      this.parts;
    const { callTrees, onShortages } = this.parts;
    shedLevel.update(queue.expectedWaitMs(nowMs), classCount(), nowMs, queue.meanIntervalMs);
    const level = this.effectiveShedLevel(nowMs);
    if (levelThrottle.isDue(level, nowMs)) onShedLevel(level);
    this.updateCapacity(nowMs);
    const shortages = callTrees.takeShortageNews(nowMs);
    if (shortages.length > 0) onShortages(shortages);
    queue.refuseUnservable(nowMs);
    this.scheduleStart(nowMs);
    for (const call of this.activeCalls) call.checkDeadline(nowMs);
    if (unresponsiveDetector.isUnresponsive(queue.running, queue.load().serviceMs, nowMs)) {
      this.markTargetUnreachable('no response to any request');
    }
    this.parts.executionRecords.sweep(nowMs);
  }
}
