import { detachedText } from '@daisyferry/http1/detached-text';
import { fieldValue } from '@daisyferry/http1/message';
import { encodeRequest } from '@daisyferry/http1/message-writer';
import type { AccountShares } from '@daisyferry/mesh/account-shares';
import type { ArrivalRateLimit } from '@daisyferry/mesh/arrival-rate-limit';
import type { TargetSlotQueue, SlotRequest } from '@daisyferry/mesh/target-slot-queue';
import type {
  ForwardedCallOutcome,
  CallReply,
  ForwardedCall,
  CallRefusalReasonName,
} from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import type { CrashEvidence, CrashReport, CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import { NO_EVIDENCE } from '@daisyferry/mesh/crash-suspects';
import type { GateDecision, SuspectGate } from '@daisyferry/mesh/suspect-gate';
import type { ExecutionRecordRegistry } from '@daisyferry/mesh/execution-record-registry';
import type { AttemptEvent, ExecutionRecord } from '@daisyferry/mesh/execution-record';
import type { CallTrees } from '@daisyferry/mesh/call-trees';
import type { NestedOrigin } from '@daisyferry/mesh/nested-origin';
import { RunCalls } from '@daisyferry/mesh/run-calls';
import { isFailedRun } from '@daisyferry/mesh/run-status';
import type { RouteCallerCounter } from '@daisyferry/mesh/route-caller-counter';
import type { DownstreamShedLevels } from '@daisyferry/mesh/downstream-shed-levels';
import type { LevelBroadcastThrottle } from '@daisyferry/mesh/level-broadcast-throttle';
import type { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import type { ServiceShortage } from '@daisyferry/mesh/shortage-news';
import type { ShedLevel } from '@daisyferry/mesh/shed-level';
import type { StopPlan } from '@daisyferry/mesh/stop-plan';
import type { UnresponsiveTargetDetector } from '@daisyferry/mesh/unresponsive-target-detector';
import type { RefusedShare } from '@daisyferry/mesh/refused-share';
import type { LearntCapacity } from '@daisyferry/mesh/learnt-capacity';
import type { PacedCall } from '@daisyferry/mesh/paced-call';
import type { TargetIncarnation } from '@daisyferry/mesh/target-notice';
import type { InboundCall } from '@daisyferry/peering/inbound-peer';
import { classifyTargetResponse, type ResponseFieldNames } from './classify-target-response';
import type { EventLog } from './event-log';
import { requestFingerprint } from './request-fingerprint';
import type { LostCall } from './target-crash-detection';
import type { HeaderNames } from './header-names';
import type { LocalTargetNotices } from './local-target-notices';
import type { TargetExchangeResult } from './target-connection';
import type { AbortableExchange, TargetConnectionPool } from './target-connection-pool';

export interface SidecarHomeParts {
  readonly target: AnnouncedTarget;
  readonly pool: TargetConnectionPool;
  readonly queue: TargetSlotQueue;
  /** Limit that the queue keeps to. */
  readonly arrivalLimit: ArrivalRateLimit;
  readonly capacity: LearntCapacity;
  /** Calls that the target has in progress at other services. */
  readonly nestedCallCount: () => number;
  readonly refusedShare: RefusedShare;
  /** Is told the slot time that accounts use. */
  readonly accountShares?: AccountShares | undefined;
  readonly routeCallers: RouteCallerCounter;
  /** What runs of the target need of other services. */
  readonly callTrees: CallTrees;
  readonly unresponsiveDetector: UnresponsiveTargetDetector;
  readonly shedLevel: ShedLevel;
  readonly downstreamLevels: DownstreamShedLevels;
  readonly levelThrottle: LevelBroadcastThrottle;
  /** Called when the shed level of this home is to be sent to all entries. */
  readonly onShedLevel: (level: number) => void;
  /** Called with what all entries are to be told of services that the target calls. */
  readonly onShortages: (shortages: readonly ServiceShortage[]) => void;
  /** Number of priority classes in use. */
  readonly classCount: () => number;
  readonly executionRecords: ExecutionRecordRegistry;
  readonly suspects: CrashSuspects;
  /** Called with news about requests that crash targets. */
  readonly onCrashReports: (reports: readonly CrashReport[]) => void;
  readonly suspectGate: SuspectGate;
  readonly headerNames: HeaderNames;
  readonly responseFieldNames: ResponseFieldNames;
  readonly notices: LocalTargetNotices;
  readonly stopPlan: StopPlan;
  readonly log: EventLog;
  readonly clock: () => number;
  /** Called when the target stopped or resumed accepting connections. */
  readonly onTargetChange: () => void;
}

/** The part of the home that its calls use. */
export interface TargetCallHost {
  readonly parts: SidecarHomeParts;
  buildReply(outcome: ForwardedCallOutcome, call: ForwardedCall): CallReply;
  /** Applies what a response of the target states about this incarnation of it. */
  applyNotice(fields: readonly string[], incarnation: TargetIncarnation): void;
  /** Records whether the target turned a call away. */
  recordTurn(isRefusal: boolean, nowMs: number): void;
  /** Called when the call is sent to the target. */
  addRunning(call: TargetCall): void;
  removeCall(call: TargetCall): void;
  /** Decides whether a request that may crash the target runs now. */
  admitSuspect(call: TargetCall, nowMs: number): GateDecision;
  /** Clears the request of a suspicion, as the target has answered it. */
  recordAnswer(call: TargetCall, nowMs: number): void;
  /** Settles the call once it is known whether the target has crashed. */
  handleLostCall(call: LostCall): void;
  markTargetUnreachable(detail: string): void;
  markTargetReachable(): void;
}

/** Time after a call's deadline for which the target's response is still awaited. */
const DEADLINE_GRACE_MS = 100;
/** Less than the distance between two priorities of requests of callers. */
const NESTED_PRIORITY_LEAD = 0.5;

export function refusedOutcome(
  reason: CallRefusalReasonName,
  roomInMs: number,
): ForwardedCallOutcome {
  return { kind: 'refused', reason, reachedTarget: false, roomInMs };
}

function eventOfOutcome(outcome: ForwardedCallOutcome): AttemptEvent {
  switch (outcome.kind) {
    case 'answered':
      return 'ANSWER';
    case 'refused':
      return 'SHED';
    case 'unknown':
      return 'LOSE';
    default:
      return outcome satisfies never;
  }
}

/** False for a response of another target at the address, or one that may not be a target's. */
function isFromTarget(outcome: ForwardedCallOutcome): boolean {
  return (
    outcome.kind === 'answered' ||
    (outcome.kind === 'refused' && outcome.reason === CallRefusalReason.shedByTarget)
  );
}

/** One call at its home: waiting for a slot, running at the target, or settled. */
export class TargetCall implements SlotRequest, InboundCall, LostCall, NestedOrigin {
  readonly priority: number;

  readonly account: string | undefined;

  readonly usefulUntilMs: number;

  readonly deadlineMs: number;

  readonly requestId: string;

  private runningExchange: AbortableExchange | undefined;

  private apart = false;

  private startEvidence: CrashEvidence = NO_EVIDENCE;

  private knownFingerprint: string | undefined;

  private startedAtMs = 0;

  private pacedCall: PacedCall | undefined;

  /** The incarnation of the target that the request was sent to. */
  private sentTo: TargetIncarnation | undefined;

  private isDone = false;

  /** True once the run is counted among those of its route. */
  private isCountedRun = false;

  private readonly nestedCalls = new RunCalls();

  /** Why the request was lost; set while it is not known whether the target has crashed. */
  private lostDetail: string | undefined;

  constructor(
    private readonly call: ForwardedCall,
    private readonly body: Buffer,
    private readonly deliver: (reply: CallReply) => void,
    private readonly record: ExecutionRecord | undefined,
    private readonly home: TargetCallHost,
    private readonly arrivedMs: number,
  ) {
    this.requestId = call.requestId;
    // The tree of a nested call has begun: within its class, it goes first.
    const isNested = home.parts.routeCallers.isInternal(call.route) === true;
    this.priority = isNested ? call.priority - NESTED_PRIORITY_LEAD : call.priority;
    this.account = call.account;
    this.usefulUntilMs = arrivedMs + call.usefulMs;
    this.deadlineMs = arrivedMs + call.remainingMs;
  }

  start(nowMs: number): void {
    const { pool, headerNames, responseFieldNames, target, unresponsiveDetector, queue } =
      this.home.parts;
    if (nowMs >= this.deadlineMs || !target.isServing) {
      this.home.parts.queue.recordFinished(0, true, nowMs);
      this.refuse(target.isServing ? CallRefusalReason.expired : CallRefusalReason.leaving, 0);
      return;
    }
    const { suspects } = this.home.parts;
    if (this.call.evidence !== undefined) {
      suspects.learn(this.fingerprint, this.call.evidence, nowMs);
    }
    if (!suspects.isEmpty) {
      const decision = this.home.admitSuspect(this, nowMs);
      if (decision.kind === 'refused') {
        queue.recordFinished(0, true, nowMs);
        this.refuse(decision.reason, decision.roomInMs);
        return;
      }
      this.apart = decision.isApart;
      this.startEvidence = suspects.evidenceOf(this.fingerprint);
    }
    if (this.record !== undefined && !this.record.transition('HAND_OVER')) {
      this.home.parts.queue.recordFinished(0, true, nowMs);
      return;
    }
    this.startedAtMs = nowMs;
    this.pacedCall = this.home.parts.capacity.pace.start(this.call.route, nowMs);
    this.sentTo = target.announcement;
    // The queue already counts this request as running.
    unresponsiveDetector.recordStart(queue.running - 1, nowMs);
    const { call } = this;
    this.home.parts.callTrees.recordRunStart(call.route, call.repeatShare ?? 0, nowMs);
    this.isCountedRun = true;
    this.home.addRunning(this);
    const fields = [
      ...call.fields,
      headerNames.callerService,
      call.callerService,
      headerNames.deadline,
      String(Math.max(1, Math.floor(this.deadlineMs - nowMs))),
      headerNames.expectedTarget,
      call.targetId,
    ];
    if (call.account !== undefined) fields.push(headerNames.account, call.account);
    const message = encodeRequest(call.method, call.path, fields, this.body);
    // Empty if the caller assigned no id.
    const echoedId = detachedText(fieldValue(call.fields, responseFieldNames.requestId) ?? '');
    this.runningExchange = pool.send(echoedId, call.method === 'HEAD', message, (result) =>
      this.handleExchangeResult(result),
    );
  }

  refuse(reason: CallRefusalReasonName, retryAfterMs: number): void {
    this.settle('REFUSE', refusedOutcome(reason, retryAfterMs));
  }

  cancel(): void {
    if (this.isDone || this.lostDetail !== undefined) return;
    if (this.runningExchange === undefined) {
      this.home.parts.queue.remove(this);
      this.refuse(CallRefusalReason.cancelled, 0);
    } else if (this.call.isIdempotent) {
      this.abortRunning('cancelled by the caller');
    }
  }

  connectionLost(): void {
    if (this.call.isIdempotent) this.cancel();
  }

  checkDeadline(nowMs: number): void {
    if (this.isDone || this.lostDetail !== undefined || nowMs < this.deadlineMs) return;
    if (this.runningExchange === undefined) {
      this.home.parts.queue.remove(this);
      this.refuse(CallRefusalReason.expired, 0);
    } else if (nowMs >= this.deadlineMs + DEADLINE_GRACE_MS) {
      this.abortRunning('no answer by the deadline');
    }
  }

  /** Ends the call, as the daemon exits: it may run on at the target. */
  breakOff(): void {
    if (this.isDone) return;
    if (this.lostDetail !== undefined) this.settleLost(false);
    else if (this.runningExchange !== undefined) this.abortRunning('the daemon stops');
    else this.refuse(CallRefusalReason.leaving, 0);
  }

  settleLost(hasCrashed: boolean): void {
    const { lostDetail = '' } = this;
    if (!hasCrashed) {
      this.settle('LOSE', { kind: 'unknown', detail: lostDetail });
      return;
    }
    const evidence = this.home.parts.suspects.evidenceOf(this.fingerprint);
    this.settle('LOSE', { kind: 'unknown', detail: 'target crashed', evidence });
  }

  /** Digest of what makes the request the same as an earlier one. */
  get fingerprint(): string {
    const { call, body } = this;
    this.knownFingerprint ??= requestFingerprint({ ...call, body });
    return this.knownFingerprint;
  }

  get evidenceAtStart(): CrashEvidence {
    return this.startEvidence;
  }

  /** True if the request runs apart from others that may crash the target. */
  get isApart(): boolean {
    return this.apart;
  }

  get route(): string {
    return this.call.route;
  }

  get priorityOfRun(): number {
    return this.call.priority;
  }

  get repeatShare(): number {
    return this.call.repeatShare ?? 0;
  }

  recordNestedCall(route: string, service: string): void {
    this.home.parts.callTrees.recordAttributedCall();
    this.nestedCalls.record(route, service);
  }

  get service(): string {
    return this.call.service;
  }

  /** True while the request is at the target. */
  get isRunning(): boolean {
    return this.runningExchange !== undefined;
  }

  private abortRunning(detail: string): void {
    const { queue, clock } = this.home.parts;
    this.runningExchange?.abort();
    const nowMs = clock();
    this.endPaced(false, nowMs);
    queue.recordFinished(nowMs - this.startedAtMs, false, nowMs);
    this.recordUse(nowMs);
    this.settle('LOSE', { kind: 'unknown', detail });
  }

  private handleExchangeResult(result: TargetExchangeResult): void {
    if (this.isDone) return;
    const { queue, clock, responseFieldNames, unresponsiveDetector } = this.home.parts;
    const nowMs = clock();
    const serviceMs = nowMs - this.startedAtMs;
    if (result.kind !== 'notSent') this.recordUse(nowMs);
    switch (result.kind) {
      case 'response': {
        const outcome = classifyTargetResponse(
          result.response,
          responseFieldNames,
          queue.load().serviceMs,
        );
        if (isFromTarget(outcome) && this.sentTo !== undefined) {
          this.home.applyNotice(result.response.fields, this.sentTo);
        }
        if (isFromTarget(outcome)) this.home.recordTurn(outcome.kind === 'refused', nowMs);
        const isFailure = outcome.kind !== 'answered' || isFailedRun(outcome.status);
        this.endPaced(!isFailure, nowMs);
        queue.recordFinished(serviceMs, isFailure, nowMs);
        unresponsiveDetector.recordResponse(nowMs);
        this.home.markTargetReachable();
        if (outcome.kind === 'answered') this.home.recordAnswer(this, nowMs);
        this.settle(eventOfOutcome(outcome), outcome);
        if (outcome.kind === 'refused' && outcome.reason === CallRefusalReason.notHere) {
          this.home.markTargetUnreachable('another target responds at the address');
        }
        return;
      }
      case 'notSent':
        this.endPaced(false, nowMs);
        queue.recordFinished(serviceMs, true, nowMs);
        this.settle('SHED', refusedOutcome(CallRefusalReason.unreachable, 0));
        this.home.markTargetUnreachable(result.detail);
        return;
      case 'lost':
        this.endPaced(false, nowMs);
        this.lostDetail = result.detail;
        this.runningExchange = undefined;
        if (result.hasConnectionEnded) this.home.handleLostCall(this);
        else this.settleLost(false);
        queue.recordFinished(serviceMs, true, nowMs);
        return;
      default:
        result satisfies never;
    }
  }

  private recordUse(nowMs: number): void {
    const { account } = this.call;
    if (account === undefined) return;
    this.home.parts.accountShares?.recordUse(account, nowMs - this.startedAtMs, nowMs);
  }

  private endPaced(isServed: boolean, nowMs: number): void {
    if (this.pacedCall !== undefined) {
      this.home.parts.capacity.pace.end(this.pacedCall, isServed, nowMs);
    }
    this.pacedCall = undefined;
  }

  private settle(event: AttemptEvent, outcome: ForwardedCallOutcome): void {
    if (this.isDone) return;
    this.isDone = true;
    this.home.removeCall(this);
    const { log, executionRecords, queue, clock, callTrees } = this.home.parts;
    if (this.isCountedRun) {
      const nowMs = clock();
      const run = {
        route: this.call.route,
        durationMs: nowMs - this.startedAtMs,
        calls: this.nestedCalls,
        isAnswered: outcome.kind === 'answered' && !isFailedRun(outcome.status),
      };
      callTrees.recordRunEnd(run, nowMs);
    }
    if (outcome.kind !== 'answered') {
      const { requestId, route, targetId } = this.call;
      const { running, waiting, limit } = queue.load();
      const waitedMs = Math.round(clock() - this.arrivedMs);
      const callFields = { requestId, route, targetId, waitedMs, running, waiting, limit };
      log.decision('call not served by the home', { ...callFields, ...outcome });
    }
    const reply = this.home.buildReply(outcome, this.call);
    if (this.record === undefined) this.deliver(reply);
    else executionRecords.settle(this.record, event, reply, clock());
  }
}
