import type { CallOutcome, CallReply } from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import { shedMargin } from '@daisyferry/mesh/entry-admission';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import type { SentCall } from '@daisyferry/peering/peer-link';
import type { Answer, EntryParts } from './entry';
import { ownAnswer, OwnAnswerReason, type OwnAnswerReasonName } from './own-answer';
import type { RetryOrigin } from './retry-budget';

export interface EntryCallInput {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly configurationVersion: number;
  /** Number of priority classes in use that are less urgent than this request's. */
  readonly classesBelow: number;
  readonly method: string;
  readonly path: string;
  readonly fields: readonly string[];
  readonly body: Buffer;
  readonly arrivedMs: number;
  readonly callerDeadlineMs: number;
  readonly routeDeadlineMs: number;
}

/** Homes that may refuse one request before it is answered, beside those that its target saw. */
const MAX_REFUSALS = 4;
/** Least time that must be left to try another target, in ms. */
const MIN_REMAINING_MS = 5;
/** A target that turned a call away for want of room is spared for this time, in ms. */
const FULL_PAUSE_MS = 20;
/** Time for which a home is avoided after its connection broke, in ms. */
const AVOID_MS = 300;
/** Shortest advice to a caller that was shed, and the time in which the level falls by one class. */
const MIN_RETURN_MS = 100;
const RETURN_MS_PER_CLASS = 2_000;
/** Callers follow advice of up to a third of their remaining time. */
const MAX_RETURN_SHARE = 0.3;
const SERVER_ERROR = 500;

function hundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function outcomeClass(outcome: CallOutcome): 'served' | 'failed' | 'refused' {
  switch (outcome.kind) {
    case 'answered':
      return outcome.status >= SERVER_ERROR ? 'failed' : 'served';
    case 'refused':
      return outcome.reachedTarget ? 'failed' : 'refused';
    case 'unknown':
      return 'failed';
    default:
      return outcome satisfies never;
  }
}

/** One request of a caller: its tries, one after the other, until its only answer. */
export class EntryCall {
  private readonly excluded = new Set<string>();

  private current: { readonly daemonId: string; readonly sent: SentCall } | undefined;

  private targetsReached = 0;

  private refusals = 0;

  private isDone = false;

  /** True once a target may have run the request. */
  private mayHaveRun = false;

  /** Answer of a target that is kept while a better one is looked for. */
  private fallback: Extract<CallOutcome, { kind: 'answered' }> | undefined;

  constructor(
    private readonly input: EntryCallInput,
    private readonly parts: EntryParts,
    private readonly answer: Answer,
  ) {}

  start(nowMs: number): void {
    const { budget, chooser } = this.parts;
    const { service, route, requestId, classesBelow } = this.input;
    const isInternal = chooser.isInternal(route.name);
    budget.countRequest({ service, isInternal }, nowMs);
    if (!isInternal) {
      const level = chooser.levelOf(service, nowMs);
      const margin = shedMargin({ requestId, classesBelow, level });
      if (margin > 0) {
        const detail = 'shed before any work';
        this.finishOwn(OwnAnswerReason.noRoom, this.returnMs(margin, nowMs), nowMs, detail);
        return;
      }
    }
    this.tryNext(nowMs, 0);
  }

  /** The caller has gone: nothing more is done for it. */
  abandon(nowMs: number): void {
    if (this.isDone) return;
    this.isDone = true;
    this.cancelCurrent(nowMs);
    const { input, parts } = this;
    parts.metrics.countAnswer(input.route.name, 'abandoned', nowMs - input.arrivedMs);
    parts.log.decision('caller left', {
      requestId: input.requestId,
      route: input.route.name,
      waitedMs: Math.round(nowMs - input.arrivedMs),
    });
  }

  checkDeadline(nowMs: number): void {
    if (this.isDone || !this.isPastDeadline(nowMs)) return;
    this.cancelCurrent(nowMs);
    this.finishOwn(OwnAnswerReason.timedOut, 0, nowMs, 'deadline passed');
  }

  private retryOrigin(): RetryOrigin {
    const { service, route } = this.input;
    const { chooser } = this.parts;
    return {
      service,
      isInternal: chooser.isInternal(route.name),
      internalShare: chooser.internalShareOf(service),
    };
  }

  private isPastDeadline(nowMs: number): boolean {
    return nowMs >= this.input.routeDeadlineMs || nowMs >= this.input.callerDeadlineMs;
  }

  /** Time after which a caller that was shed by this margin may come back; spread at random. */
  private returnMs(margin: number, nowMs: number): number {
    const forecastMs = MIN_RETURN_MS + margin * RETURN_MS_PER_CLASS;
    const spreadMs = forecastMs * (0.5 + this.parts.random());
    return Math.min(spreadMs, (this.input.callerDeadlineMs - nowMs) * MAX_RETURN_SHARE);
  }

  private tryNext(nowMs: number, roomInMs: number): void {
    const { input, parts } = this;
    const remainingMs = Math.min(input.routeDeadlineMs, input.callerDeadlineMs) - nowMs;
    if (remainingMs < MIN_REMAINING_MS || this.refusals > MAX_REFUSALS) {
      this.giveUp(roomInMs, nowMs, 'no time or tries left');
      return;
    }
    // A call that a target makes for a request is of use as long as that request waits for it.
    const usefulMs = parts.chooser.isInternal(input.route.name)
      ? remainingMs
      : input.route.targetLatencyMs - (nowMs - input.arrivedMs);
    const choice = parts.chooser.choose(
      {
        service: input.service,
        route: input.route.name,
        usefulMs,
        excluded: this.excluded,
      },
      nowMs,
    );
    if (choice.kind === 'none') {
      this.giveUp(Math.max(roomInMs, choice.roomInMs), nowMs, choice.reason);
      return;
    }
    const { daemonId, target } = choice.record;
    this.excluded.add(daemonId);
    parts.chooser.sent(daemonId);
    let isReplied = false;
    const sent = parts.transport.send(
      daemonId,
      {
        requestId: input.requestId,
        service: input.service,
        targetId: target?.targetId ?? '',
        callerService: parts.callerService,
        route: input.route.name,
        isIdempotent: input.route.isIdempotent,
        priority: input.route.priority,
        remainingMs,
        usefulMs,
        method: input.method,
        path: input.path,
        fields: input.fields,
      },
      input.body,
      (reply) => {
        isReplied = true;
        this.current = undefined;
        this.replied(daemonId, reply, parts.clock());
      },
    );
    if (!isReplied) this.current = { daemonId, sent };
  }

  private replied(daemonId: string, { outcome, load }: CallReply, nowMs: number): void {
    const { chooser, downstream } = this.parts;
    const { route, service } = this.input;
    chooser.ended(daemonId, route.name, load, outcomeClass(outcome), nowMs);
    if (chooser.isInternal(route.name)) {
      downstream.note(service, chooser.levelOf(service, nowMs), nowMs);
    }
    if (this.isDone) return;
    switch (outcome.kind) {
      case 'answered':
        this.answered(outcome, nowMs);
        return;
      case 'refused':
        this.refused(daemonId, outcome, nowMs);
        return;
      case 'unknown':
        this.mayHaveRun = true;
        this.targetsReached += 1;
        chooser.avoid(daemonId, nowMs + AVOID_MS);
        if (this.isPastDeadline(nowMs)) {
          this.finishOwn(OwnAnswerReason.timedOut, 0, nowMs, outcome.detail);
          return;
        }
        this.retryOr(nowMs, () =>
          this.finishOwn(OwnAnswerReason.outcomeUnknown, 0, nowMs, outcome.detail),
        );
        return;
      default:
        outcome satisfies never;
    }
  }

  private answered(outcome: Extract<CallOutcome, { kind: 'answered' }>, nowMs: number): void {
    if (outcome.status < SERVER_ERROR || !this.input.route.isIdempotent) {
      this.finishAnswered(outcome, nowMs);
      return;
    }
    // A repeatable request that its target failed may succeed at another one, unless all fail alike,
    // as they do when a service that they call is short of room.
    this.mayHaveRun = true;
    this.targetsReached += 1;
    this.fallback = outcome;
    if (this.parts.chooser.hasSoundTarget(this.input.service, nowMs)) {
      this.retryOr(nowMs, () => this.finishAnswered(outcome, nowMs));
    } else {
      this.finishAnswered(outcome, nowMs);
    }
  }

  private refused(
    daemonId: string,
    outcome: Extract<CallOutcome, { kind: 'refused' }>,
    nowMs: number,
  ): void {
    const { chooser } = this.parts;
    this.refusals += 1;
    const { route } = this.input;
    if (outcome.reason === RefusalReason.full && !chooser.isInternal(route.name)) {
      chooser.noteFull(daemonId, route.name, nowMs + FULL_PAUSE_MS);
    }
    if (outcome.reason === RefusalReason.unreachable) chooser.avoid(daemonId, nowMs + AVOID_MS);
    if (!outcome.reachedTarget) {
      this.tryNext(nowMs, outcome.roomInMs);
      return;
    }
    this.targetsReached += 1;
    this.retryOr(nowMs, () => this.giveUp(outcome.roomInMs, nowMs, outcome.reason));
  }

  /** Sends the request to another target if that is allowed and within the budget. */
  private retryOr(nowMs: number, otherwise: () => void): void {
    const { route } = this.input;
    const isAllowed = route.isIdempotent || !this.mayHaveRun;
    const hasTargets = this.targetsReached < route.maxTargets;
    if (isAllowed && hasTargets && this.parts.budget.tryRetry(this.retryOrigin(), nowMs)) {
      this.tryNext(nowMs, 0);
    } else {
      otherwise();
    }
  }

  /** No target can be tried any more. */
  private giveUp(roomInMs: number, nowMs: number, detail: string): void {
    if (this.fallback !== undefined) {
      this.finishAnswered(this.fallback, nowMs);
    } else if (this.mayHaveRun) {
      this.finishOwn(OwnAnswerReason.outcomeUnknown, 0, nowMs, detail);
    } else {
      const reason = detail === 'noTarget' ? OwnAnswerReason.noTarget : OwnAnswerReason.noRoom;
      this.finishOwn(reason, roomInMs, nowMs, detail);
    }
  }

  private finishAnswered(
    {
      status,
      reason,
      fields,
      body,
      endsWithConnection,
    }: Extract<CallOutcome, { kind: 'answered' }>,
    nowMs: number,
  ): void {
    this.isDone = true;
    const { input, parts } = this;
    const outcome = status < SERVER_ERROR ? 'served' : 'failedByTarget';
    parts.metrics.countAnswer(input.route.name, outcome, nowMs - input.arrivedMs);
    if (outcome !== 'served') {
      parts.log.decision('failed by target', { requestId: input.requestId, status });
    }
    this.answer({ status, reason, fields, body, endsWithConnection });
  }

  private finishOwn(
    reason: OwnAnswerReasonName,
    roomInMs: number,
    nowMs: number,
    detail: string,
  ): void {
    this.isDone = true;
    const { input, parts } = this;
    const waitedMs = nowMs - input.arrivedMs;
    parts.metrics.countAnswer(input.route.name, reason, waitedMs);
    parts.log.decision('request not served', {
      requestId: input.requestId,
      route: input.route.name,
      service: input.service,
      answer: reason,
      detail,
      configuration: input.configurationVersion,
      level: hundredths(parts.chooser.levelOf(input.service, nowMs)),
      tried: [...this.excluded],
      waitedMs: Math.round(waitedMs),
      roomInMs: Math.round(roomInMs),
    });
    this.answer(ownAnswer(reason, roomInMs));
  }

  private cancelCurrent(nowMs: number): void {
    const { current } = this;
    if (current === undefined) return;
    this.current = undefined;
    current.sent.cancel();
    this.parts.chooser.ended(current.daemonId, this.input.route.name, undefined, 'refused', nowMs);
  }
}
