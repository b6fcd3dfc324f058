import type { ClientAccount } from '@daisyferry/mesh/client-account';
import { LARGE_BYTES } from '@daisyferry/mesh/buffer-budget';
import type { ForwardedCallOutcome, CallReply } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import { boundedRetryAfterMs, shedForecastMs } from '@daisyferry/mesh/retry-after';
import type { PendingCall } from '@daisyferry/mesh/pending-call';
import { outcomeForChooser } from '@daisyferry/mesh/outcome-for-chooser';
import { shedMargin } from '@daisyferry/mesh/shed-margin';
import type { NestedOrigin } from '@daisyferry/mesh/nested-origin';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import { isFailedRun, promisesNotRun } from '@daisyferry/mesh/run-status';
import type { CancellableCall } from '@daisyferry/peering/peer-link';
import type { Respond, SidecarEntryParts } from './entry';
import {
  daemonResponse,
  DaemonResponseReason,
  type DaemonResponseReasonName,
} from './daemon-response';
import { isLimited, QuotaWait } from './quota-wait';
import { RequestCallTree } from './request-call-tree';
import { RequestSuspicion } from './request-suspicion';
import { TriedTargets } from './tried-targets';

export interface CallerRequestInput {
  readonly requestId: string;
  readonly attemptKey: string;
  readonly route: Route;
  /** 0 is the most urgent; see `requestPriority`. */
  readonly priority: number;
  /** Undefined for a request that belongs to no client account. */
  readonly account: ClientAccount | undefined;
  /** The run that makes the request; undefined for a request of a caller, or if it is not known. */
  readonly origin: NestedOrigin | undefined;
  readonly service: string;
  readonly configurationVersion: number;
  /** Number of priority classes in use that are less urgent than this request's class. */
  readonly classesBelow: number;
  readonly method: string;
  readonly path: string;
  readonly fields: readonly string[];
  readonly body: Buffer;
  readonly arrivedMs: number;
  readonly callerDeadlineMs: number;
  readonly routeDeadlineMs: number;
}

/** Minimum remaining time for another attempt. */
const MIN_REMAINING_MS = 5;
/** Time for which calls of a route are not sent to a target that refused one as full. */
const FULL_TARGET_PAUSE_MS = 20;
/** Maximum of this time for a target that limits the rate of its requests. */
const MAX_FULL_TARGET_PAUSE_MS = 500;
/** Time for which a home is avoided after its connection broke. */
const BROKEN_HOME_AVOIDANCE_MS = 300;
/** Retry-after of a request of a route whose requests fail: time for its cause to change. */
const FAILING_ROUTE_RETRY_AFTER_MS = 1_000;

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function reasonOfRefusal(detail: string): DaemonResponseReasonName {
  if (detail === DaemonResponseReason.stopping) return DaemonResponseReason.stopping;
  if (detail === CallRefusalReason.crashesTargets) return DaemonResponseReason.crashesTargets;
  return detail === 'noTarget' ? DaemonResponseReason.noTarget : DaemonResponseReason.noRoom;
}

interface SentCall {
  readonly daemonId: string;
  readonly pending: PendingCall;
  /** Undefined while the call is being sent. */
  call: CancellableCall | undefined;
}

/** One request of a caller: tries one target after another until it has its single response. */
export class CallerRequest {
  private readonly tried = new TriedTargets();

  /** The call whose reply is awaited; other replies are dropped. */
  private sentCall: SentCall | undefined;

  private readonly suspicion: RequestSuspicion;

  private readonly tree: RequestCallTree;

  /** The only home that the request is sent to, as it is tried again after it was blocked. */
  private onlyDaemonId: string | undefined;

  /** Set once the request needs a part of its account's quota. */
  private quotaWait: QuotaWait | undefined;

  private isDone = false;

  /** True once a target may have executed the request. */
  private mayHaveRun = false;

  /** True once the request was sent again after it had reached a target. */
  private isRetry = false;

  /** Server error of a target, returned to the caller if no other target succeeds. */
  private fallbackOutcome: Extract<ForwardedCallOutcome, { kind: 'answered' }> | undefined;

  constructor(
    private readonly input: CallerRequestInput,
    private readonly parts: SidecarEntryParts,
    private readonly respond: Respond,
  ) {
    this.suspicion = new RequestSuspicion(input, parts.suspects);
    this.tree = new RequestCallTree(input, parts);
  }

  start(nowMs: number): void {
    const { chooser } = this.parts;
    const { service, route, requestId, classesBelow, priority } = this.input;
    const { isInternal } = this.tree;
    this.tree.begin(nowMs);
    if (!isInternal) this.parts.returnPlan.recordArrival(service, priority, nowMs);
    const decision = this.suspicion.decide(nowMs);
    if (decision.kind === 'blocked') {
      const retryAfterMs = this.retryAfterMs(decision.blockedForMs, nowMs);
      const detail = 'blocked, as it has crashed targets';
      this.respondFromDaemon(DaemonResponseReason.crashesTargets, retryAfterMs, nowMs, detail);
      return;
    }
    if (decision.kind === 'trial') {
      this.onlyDaemonId = chooser.trialHomeOf(service, this.suspicion.fingerprint);
    }
    if (!isInternal) {
      const level = chooser.shedLevelOf(service, nowMs);
      const margin = shedMargin({ requestId, classesBelow, level });
      if (margin > 0) {
        const detail = 'shed at the entry';
        this.respondFromDaemon(
          DaemonResponseReason.noRoom,
          this.retryAfterMs(shedForecastMs(level, classesBelow, undefined), nowMs),
          nowMs,
          detail,
        );
        return;
      }
    }
    if (!isInternal && !this.parts.failureGate.isAdmitted(route.name, nowMs)) {
      const retryAfterMs = this.retryAfterMs(FAILING_ROUTE_RETRY_AFTER_MS, nowMs);
      const detail = 'most requests of the route fail';
      this.respondFromDaemon(DaemonResponseReason.noRoom, retryAfterMs, nowMs, detail);
      return;
    }
    if (!isInternal && !this.isTreeAdmitted(nowMs)) return;
    this.useQuota(nowMs);
  }

  /** Cancels the request, as the caller has disconnected. */
  cancel(nowMs: number): void {
    if (this.isDone) return;
    this.isDone = true;
    this.quotaWait?.cancel();
    this.cancelSentCall(nowMs);
    const { input, parts } = this;
    parts.metrics.recordRequest(input.route.name, 'abandoned', nowMs - input.arrivedMs);
    parts.log.decision('caller disconnected', {
      requestId: input.requestId,
      route: input.route.name,
      waitedMs: Math.round(nowMs - input.arrivedMs),
    });
  }

  /** Ends the request if it waits for its account's quota, as the daemon stops. */
  refuseUnsent(nowMs: number): void {
    if (this.isDone || this.sentCall !== undefined) return;
    this.quotaWait?.cancel();
    this.giveUp(0, nowMs, DaemonResponseReason.stopping);
  }

  checkDeadline(nowMs: number): void {
    if (this.isDone || !this.isPastDeadline(nowMs)) return;
    this.quotaWait?.cancel();
    this.cancelSentCall(nowMs);
    this.respondFromDaemon(DaemonResponseReason.timedOut, 0, nowMs, 'deadline passed');
  }

  /** Refuses a root request whose calls below cannot all be finished. */
  private isTreeAdmitted(nowMs: number): boolean {
    const decision = this.tree.decide(nowMs);
    if (decision.kind === 'admitted') return true;
    const detail = 'calls below cannot be finished';
    const retryAfterMs = this.retryAfterMs(decision.forecastMs, nowMs);
    this.respondFromDaemon(DaemonResponseReason.noRoom, retryAfterMs, nowMs, detail, {
      shortService: decision.service,
      calls: roundToHundredths(decision.calls),
      refusedShare: roundToHundredths(decision.refusedShare),
      admittedShare: roundToHundredths(decision.admittedShare),
      classesBelow: this.input.classesBelow,
    });
    return false;
  }

  /** Sends the request once it is known to lie within its account's quota. */
  private useQuota(nowMs: number): void {
    const { input, parts } = this;
    if (!isLimited(input, parts)) {
      this.tryNextTarget(nowMs, 0);
      return;
    }
    this.quotaWait = new QuotaWait(input, parts, {
      admit: (admittedMs) => this.tryNextTarget(admittedMs, 0),
      refuse: ({ reason, roomInMs, detail, fields }, refusedMs) =>
        this.respondFromDaemon(reason, roomInMs, refusedMs, detail, fields),
    });
    this.quotaWait.start(nowMs);
  }

  private isPastDeadline(nowMs: number): boolean {
    return nowMs >= this.input.routeDeadlineMs || nowMs >= this.input.callerDeadlineMs;
  }

  /** Time after which the caller is told to come back; call it once for each response. */
  private retryAfterMs(forecastMs: number, nowMs: number): number {
    const { input, parts } = this;
    const { service, priority } = input;
    const remainingMs = input.callerDeadlineMs - nowMs;
    // Targets do not come back with the calls that they make.
    if (this.tree.isInternal) return boundedRetryAfterMs(forecastMs, remainingMs, parts.random());
    return parts.returnPlan.returnInMs({ service, priority, forecastMs, remainingMs }, nowMs);
  }

  /** Time until the service has room for the class of this request, if calls wait for `roomInMs`. */
  private forecastMs(reason: DaemonResponseReasonName, roomInMs: number, nowMs: number): number {
    if (reason !== DaemonResponseReason.noRoom) return roomInMs;
    const { service, classesBelow } = this.input;
    return shedForecastMs(this.parts.chooser.shedLevelOf(service, nowMs), classesBelow, roomInMs);
  }

  /** Time until a daemon serves here again, within what the caller honors. */
  private restartMs(nowMs: number): number {
    const { input, parts } = this;
    const remainingMs = input.callerDeadlineMs - nowMs;
    return boundedRetryAfterMs(parts.stopPlan.retryAfterMs(nowMs), remainingMs, parts.random());
  }

  /** `onlyDaemonId` is the home to send to if there is no choice. */
  private tryNextTarget(
    nowMs: number,
    retryAfterMs: number,
    onlyDaemonId = this.onlyDaemonId,
  ): void {
    const { input, parts } = this;
    const deadlineMs = Math.min(input.routeDeadlineMs, input.callerDeadlineMs);
    const remainingMs = deadlineMs - nowMs;
    if (!parts.stopPlan.mayPassOn({ readMs: input.arrivedMs, deadlineMs }, nowMs)) {
      this.giveUp(0, nowMs, DaemonResponseReason.stopping);
      return;
    }
    if (remainingMs < MIN_REMAINING_MS || this.tried.areHomesExhausted) {
      this.giveUp(retryAfterMs, nowMs, 'no time or attempts left');
      return;
    }
    // A call on an internal route is useful as long as the target that made it waits for it.
    const usefulMs = this.tree.isInternal
      ? remainingMs
      : input.route.targetLatencyMs - (nowMs - input.arrivedMs);
    const choice = parts.chooser.choose(
      {
        service: input.service,
        route: input.route.name,
        usefulMs,
        excluded: this.tried.excluded,
        onlyDaemonId,
      },
      nowMs,
    );
    if (choice.kind === 'none' && onlyDaemonId === undefined && this.tried.hasRefusers) {
      this.askAgain(nowMs, Math.max(retryAfterMs, choice.roomInMs));
      return;
    }
    if (choice.kind === 'none') {
      this.giveUp(Math.max(retryAfterMs, choice.roomInMs), nowMs, choice.reason);
      return;
    }
    const { daemonId, target } = choice.record;
    this.tried.recordSent(daemonId);
    const pending: PendingCall = {
      sentAtMs: nowMs,
      expectedMs: choice.expectedMs,
      isNested: this.tree.isInternal,
    };
    parts.chooser.recordSent(daemonId, pending);
    const sentCall: SentCall = { daemonId, pending, call: undefined };
    this.sentCall = sentCall;
    sentCall.call = parts.transport.send(
      daemonId,
      {
        requestId: input.requestId,
        attemptKey: input.route.isIdempotent ? undefined : input.attemptKey,
        service: input.service,
        targetId: target?.targetId ?? '',
        callerService: parts.callerService,
        route: input.route.name,
        isIdempotent: input.route.isIdempotent,
        priority: input.priority,
        account: input.account?.name,
        repeatShare: this.tree.repeatShare(this.isRetry),
        remainingMs,
        usefulMs: Math.min(usefulMs, choice.maxUsefulMs),
        method: input.method,
        path: input.path,
        fields: input.fields,
        targetRatePerS: target && parts.targetNotices.ratePerS(target),
        evidence: this.suspicion.evidence,
      },
      input.body,
      (reply) => {
        // The home of this daemon replies also to a call that is being cancelled.
        if (this.sentCall !== sentCall) return;
        this.sentCall = undefined;
        const notice = reply.load?.notice;
        if (target !== undefined && notice !== undefined)
          parts.targetNotices.record(target, notice);
        this.handleReply(sentCall, reply, parts.clock());
      },
    );
  }

  private handleReply({ daemonId, pending }: SentCall, reply: CallReply, nowMs: number): void {
    const { outcome, load } = reply;
    const { chooser, downstreamLevels } = this.parts;
    const { route, service } = this.input;
    this.tree.recordReply(reply, nowMs);
    chooser.recordEnded(daemonId, route.name, load, outcomeForChooser(outcome), nowMs, pending);
    if (this.tree.isInternal) {
      downstreamLevels.recordLevel(service, chooser.shedLevelOf(service, nowMs), nowMs);
    }
    if (this.isDone) return;
    switch (outcome.kind) {
      case 'answered':
        if (!this.tree.isInternal) this.parts.returnPlan.recordTaken(service, load, nowMs);
        this.handleTargetResponse(daemonId, outcome, nowMs);
        return;
      case 'refused':
        this.handleRefusal(daemonId, outcome, load?.notice?.ratePerS !== undefined, nowMs);
        return;
      case 'unknown':
        if (outcome.evidence !== undefined) this.suspicion.learn(outcome.evidence, nowMs);
        this.mayHaveRun = true;
        this.tried.recordReached(daemonId);
        if (outcome.isResponseDropped === true) {
          // The response of another target would not find room either.
          this.respondFromDaemon(DaemonResponseReason.outcomeUnknown, 0, nowMs, outcome.detail);
          return;
        }
        chooser.avoidUntil(daemonId, nowMs + BROKEN_HOME_AVOIDANCE_MS);
        if (this.isPastDeadline(nowMs)) {
          this.respondFromDaemon(DaemonResponseReason.timedOut, 0, nowMs, outcome.detail);
          return;
        }
        this.retryOrElse(nowMs, () =>
          this.respondFromDaemon(DaemonResponseReason.outcomeUnknown, 0, nowMs, outcome.detail),
        );
        return;
      default:
        outcome satisfies never;
    }
  }

  private handleTargetResponse(
    daemonId: string,
    outcome: Extract<ForwardedCallOutcome, { kind: 'answered' }>,
    nowMs: number,
  ): void {
    const { isIdempotent } = this.input.route;
    if (!isIdempotent && promisesNotRun(outcome.status)) {
      // Its caller would take this status for the promise that it may send the request again.
      this.mayHaveRun = true;
      const detail = `status ${outcome.status} of a target that has run the request`;
      this.respondFromDaemon(DaemonResponseReason.outcomeUnknown, 0, nowMs, detail);
      return;
    }
    const isFinal = !isFailedRun(outcome.status) || !isIdempotent;
    // A large response is not kept in addition to that of another target.
    if (isFinal || outcome.body.length >= LARGE_BYTES) {
      this.respondWithOutcome(outcome, nowMs);
      return;
    }
    // An idempotent request that one target failed may succeed at another one, unless all targets
    // fail alike, as they do when a downstream service is overloaded.
    this.mayHaveRun = true;
    this.tried.recordReached(daemonId);
    this.fallbackOutcome = outcome;
    const { chooser } = this.parts;
    // Another run would make all its calls again, of which those to a short service fail likewise.
    const isCauseBelow = this.tree.isCauseBelow(nowMs);
    if (!isCauseBelow && chooser.hasHealthyTarget(this.input.service, nowMs)) {
      this.retryOrElse(nowMs, () => this.respondWithOutcome(outcome, nowMs));
    } else {
      this.respondWithOutcome(outcome, nowMs);
    }
  }

  private handleRefusal(
    daemonId: string,
    outcome: Extract<ForwardedCallOutcome, { kind: 'refused' }>,
    isRateLimited: boolean,
    nowMs: number,
  ): void {
    const { chooser } = this.parts;
    const { route } = this.input;
    if (outcome.reason !== CallRefusalReason.shedByTarget) this.tried.recordHomeRefusal();
    if (outcome.reason === CallRefusalReason.crashesTargets) {
      this.giveUp(outcome.roomInMs, nowMs, outcome.reason);
      return;
    }
    if (outcome.reason === CallRefusalReason.full && !this.tree.isInternal) {
      const pauseMs = Math.min(MAX_FULL_TARGET_PAUSE_MS, outcome.roomInMs);
      const untilMs = nowMs + Math.max(FULL_TARGET_PAUSE_MS, isRateLimited ? pauseMs : 0);
      chooser.markFull(daemonId, route.name, untilMs);
    }
    if (outcome.reason === CallRefusalReason.unreachable)
      chooser.avoidUntil(daemonId, nowMs + BROKEN_HOME_AVOIDANCE_MS);
    if (!outcome.reachedTarget) {
      if (this.tried.hasTargetsLeft(route.maxTargets)) this.tryNextTarget(nowMs, outcome.roomInMs);
      else if (this.tried.hasRefusers) this.askAgain(nowMs, outcome.roomInMs);
      else this.giveUp(outcome.roomInMs, nowMs, outcome.reason);
      return;
    }
    // A home holds the id of a request that may run only once, and does not send it again.
    const mayAskAgain = route.isIdempotent && outcome.reason === CallRefusalReason.shedByTarget;
    this.tried.recordTargetRefusal(daemonId, mayAskAgain);
    this.retryOrElse(nowMs, () => this.giveUp(outcome.roomInMs, nowMs, outcome.reason));
  }

  /**
   * Retries at another target, or at one that turned the request away, which may take it now. Calls
   * `fallback` if that is unsafe or exceeds the budget.
   */
  private retryOrElse(nowMs: number, fallback: () => void): void {
    const { route } = this.input;
    const isSafe = route.isIdempotent || !this.mayHaveRun;
    const hasTargetsLeft = this.tried.hasTargetsLeft(route.maxTargets);
    if (
      isSafe &&
      (hasTargetsLeft || this.tried.hasRefusers) &&
      !this.tried.areRefusalsExhausted &&
      !this.suspicion.isRetryBarred &&
      this.tree.tryRetry(nowMs)
    ) {
      this.isRetry = true;
      if (hasTargetsLeft) this.tryNextTarget(nowMs, 0);
      else this.askAgain(nowMs, 0);
    } else {
      fallback();
    }
  }

  /** Sends the request again to the target that turned it away the longest ago. */
  private askAgain(nowMs: number, retryAfterMs: number): void {
    this.tryNextTarget(nowMs, retryAfterMs, this.tried.takeRefuser());
  }

  /** Ends the request, as no further target can be tried; `roomInMs` is when there may be room. */
  private giveUp(roomInMs: number, nowMs: number, detail: string): void {
    if (this.fallbackOutcome !== undefined) {
      this.respondWithOutcome(this.fallbackOutcome, nowMs);
    } else if (this.mayHaveRun) {
      this.respondFromDaemon(DaemonResponseReason.outcomeUnknown, 0, nowMs, detail);
    } else {
      const reason = reasonOfRefusal(detail);
      const retryAfterMs =
        reason === DaemonResponseReason.stopping
          ? this.restartMs(nowMs)
          : this.retryAfterMs(this.forecastMs(reason, roomInMs, nowMs), nowMs);
      this.respondFromDaemon(reason, retryAfterMs, nowMs, detail);
    }
  }

  private respondWithOutcome(
    {
      status,
      reason,
      fields,
      body,
      endsWithConnection,
    }: Extract<ForwardedCallOutcome, { kind: 'answered' }>,
    nowMs: number,
  ): void {
    this.isDone = true;
    const { input, parts } = this;
    const outcome = isFailedRun(status) ? 'failedByTarget' : 'served';
    this.tree.recordEnd(outcome !== 'served', nowMs);
    this.tree.recordResponse(outcome === 'served', nowMs);
    parts.metrics.recordRequest(input.route.name, outcome, nowMs - input.arrivedMs);
    if (outcome !== 'served') {
      parts.log.decision('target failed the request', { requestId: input.requestId, status });
    }
    this.respond({ status, reason, fields, body, endsWithConnection });
  }

  private respondFromDaemon(
    reason: DaemonResponseReasonName,
    retryAfterMs: number,
    nowMs: number,
    detail: string,
    logFields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.isDone = true;
    const { input, parts } = this;
    const waitedMs = nowMs - input.arrivedMs;
    if (this.mayHaveRun) this.tree.recordEnd(true, nowMs);
    this.tree.recordResponse(false, nowMs);
    parts.metrics.recordRequest(input.route.name, reason, waitedMs);
    parts.log.decision('request not served', {
      requestId: input.requestId,
      route: input.route.name,
      service: input.service,
      answer: reason,
      detail,
      configuration: input.configurationVersion,
      level: roundToHundredths(parts.chooser.shedLevelOf(input.service, nowMs)),
      tried: [...this.tried.excluded],
      waitedMs: Math.round(waitedMs),
      roomInMs: Math.round(retryAfterMs),
      ...logFields,
    });
    this.respond(daemonResponse(reason, retryAfterMs));
  }

  private cancelSentCall(nowMs: number): void {
    const { sentCall } = this;
    if (sentCall === undefined) return;
    this.sentCall = undefined;
    sentCall.call?.cancel();
    this.parts.chooser.recordEnded(
      sentCall.daemonId,
      this.input.route.name,
      undefined,
      'refused',
      nowMs,
      sentCall.pending,
    );
  }
}
