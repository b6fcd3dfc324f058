import { requestBytes } from '@daisyferry/http1/message-writer';
import type { AdmissionQueue, SlotRequest } from '@daisyferry/mesh/admission-queue';
import type { CallOutcome, CallReply, MeshCall, RefusalReasonName } from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import type { ExecutionLedger } from '@daisyferry/mesh/execution-ledger';
import type { AttemptEvent, ExecutionRecord } from '@daisyferry/mesh/execution-record';
import type { CallerTally } from '@daisyferry/mesh/caller-tally';
import type { DownstreamLevel } from '@daisyferry/mesh/downstream-level';
import type { LevelNotice } from '@daisyferry/mesh/level-notice';
import type { LocalTarget } from '@daisyferry/mesh/local-target';
import type { ShedLevel } from '@daisyferry/mesh/shed-level';
import type { SilenceWatch } from '@daisyferry/mesh/silence-watch';
import type { ServiceTimes } from '@daisyferry/mesh/service-times';
import type { HandledCall } from '@daisyferry/peering/inbound-peer';
import { judgeAnswer, type AnswerFields } from './answer-check';
import type { EventLog } from './event-log';
import type { HeaderNames } from './header-names';
import type { ExchangeResult } from './target-connection';
import type { RunningRequest, TargetPool } from './target-pool';

export interface HomeParts {
  readonly target: LocalTarget;
  readonly pool: TargetPool;
  readonly queue: AdmissionQueue;
  readonly serviceTimes: ServiceTimes;
  readonly callers: CallerTally;
  readonly silence: SilenceWatch;
  readonly shedLevel: ShedLevel;
  readonly downstream: DownstreamLevel;
  readonly levelNotice: LevelNotice;
  /** Tells all entries the level of this home. */
  readonly onLevel: (level: number) => void;
  /** Number of priority classes in use. */
  readonly classCount: () => number;
  readonly ledger: ExecutionLedger;
  readonly headerNames: HeaderNames;
  readonly answerFields: AnswerFields;
  readonly log: EventLog;
  readonly clock: () => number;
  /** The target stopped or resumed taking connections. */
  readonly onTargetChange: () => void;
}

/** What a call needs of the home that works on it. */
export interface HomeCallHost {
  readonly parts: HomeParts;
  reply(outcome: CallOutcome, route: string): CallReply;
  done(call: HomeCall): void;
  targetUnreachable(detail: string): void;
  targetReached(): void;
}

/** Time beyond its deadline for which the target may still answer, in ms. */
const DEADLINE_SLACK_MS = 100;

export function refusal(reason: RefusalReasonName, roomInMs: number): CallOutcome {
  return { kind: 'refused', reason, reachedTarget: false, roomInMs };
}

function outcomeEvent(outcome: CallOutcome): AttemptEvent {
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

/** One call at its home: waiting for a slot, running, or done. */
export class HomeCall implements SlotRequest, HandledCall {
  readonly priority: number;

  readonly usefulUntilMs: number;

  readonly deadlineMs: number;

  private running: RunningRequest | undefined;

  private startedAtMs = 0;

  private isDone = false;

  constructor(
    private readonly call: MeshCall,
    private readonly body: Buffer,
    private readonly deliver: (reply: CallReply) => void,
    private readonly record: ExecutionRecord | undefined,
    private readonly home: HomeCallHost,
    private readonly arrivedMs: number,
  ) {
    this.priority = call.priority;
    this.usefulUntilMs = arrivedMs + call.usefulMs;
    this.deadlineMs = arrivedMs + call.remainingMs;
  }

  start(nowMs: number): void {
    const { pool, headerNames, target, silence, queue } = this.home.parts;
    if (nowMs >= this.deadlineMs || !target.isServing) {
      this.home.parts.queue.finished(0, true, nowMs);
      this.refuse(target.isServing ? RefusalReason.expired : RefusalReason.leaving, 0);
      return;
    }
    if (this.record !== undefined && !this.record.step('HAND_OVER')) {
      this.home.parts.queue.finished(0, true, nowMs);
      return;
    }
    this.startedAtMs = nowMs;
    // This request holds one of the slots already.
    silence.started(queue.running - 1, nowMs);
    const { call } = this;
    const fields = [
      ...call.fields,
      headerNames.callerService,
      call.callerService,
      headerNames.deadline,
      String(Math.max(1, Math.floor(this.deadlineMs - nowMs))),
      headerNames.expectedTarget,
      call.targetId,
    ];
    const bytes = requestBytes(call.method, call.path, fields, this.body);
    this.running = pool.send(call.requestId, call.method === 'HEAD', bytes, (result) =>
      this.exchanged(result),
    );
  }

  refuse(reason: RefusalReasonName, roomInMs: number): void {
    this.settle('REFUSE', refusal(reason, roomInMs));
  }

  cancel(): void {
    if (this.isDone) return;
    if (this.running === undefined) {
      this.home.parts.queue.withdraw(this);
      this.refuse(RefusalReason.cancelled, 0);
    } else if (this.call.isIdempotent) {
      this.abortRun('cancelled by the caller');
    }
  }

  connectionLost(): void {
    if (this.call.isIdempotent) this.cancel();
  }

  checkDeadline(nowMs: number): void {
    if (this.isDone || nowMs < this.deadlineMs) return;
    if (this.running === undefined) {
      this.home.parts.queue.withdraw(this);
      this.refuse(RefusalReason.expired, 0);
    } else if (nowMs >= this.deadlineMs + DEADLINE_SLACK_MS) {
      this.abortRun('no answer by the deadline');
    }
  }

  private abortRun(detail: string): void {
    const { queue, clock } = this.home.parts;
    this.running?.abort();
    const nowMs = clock();
    queue.finished(nowMs - this.startedAtMs, false, nowMs);
    this.settle('LOSE', { kind: 'unknown', detail });
  }

  private exchanged(result: ExchangeResult): void {
    if (this.isDone) return;
    const { queue, clock, answerFields, silence, serviceTimes } = this.home.parts;
    const nowMs = clock();
    const serviceMs = nowMs - this.startedAtMs;
    switch (result.kind) {
      case 'response': {
        const outcome = judgeAnswer(result.response, answerFields, queue.load().serviceMs);
        const isFailure = outcome.kind !== 'answered' || outcome.status >= 500;
        queue.finished(serviceMs, isFailure, nowMs);
        if (!isFailure) serviceTimes.record(this.call.route, serviceMs);
        silence.answered(nowMs);
        this.home.targetReached();
        this.settle(outcomeEvent(outcome), outcome);
        if (outcome.kind === 'refused' && outcome.reason === RefusalReason.notHere) {
          this.home.targetUnreachable('another target answers at the address');
        }
        return;
      }
      case 'notSent':
        queue.finished(serviceMs, true, nowMs);
        this.settle('SHED', refusal(RefusalReason.unreachable, 0));
        this.home.targetUnreachable(result.detail);
        return;
      case 'lost':
        queue.finished(serviceMs, true, nowMs);
        this.settle('LOSE', { kind: 'unknown', detail: result.detail });
        return;
      default:
        result satisfies never;
    }
  }

  private settle(event: AttemptEvent, outcome: CallOutcome): void {
    if (this.isDone) return;
    this.isDone = true;
    this.home.done(this);
    const { log, ledger, queue, clock } = this.home.parts;
    if (outcome.kind !== 'answered') {
      const { requestId, route, targetId } = this.call;
      const { running, waiting, limit } = queue.load();
      const waitedMs = Math.round(clock() - this.arrivedMs);
      const inputs = { requestId, route, targetId, waitedMs, running, waiting, limit };
      log.decision('call not served at home', { ...inputs, ...outcome });
    }
    const reply = this.home.reply(outcome, this.call.route);
    if (this.record === undefined) this.deliver(reply);
    else ledger.settle(this.record, event, reply, clock());
  }
}
