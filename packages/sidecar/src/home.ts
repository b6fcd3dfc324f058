import { requestBytes } from '@daisyferry/http1/message-writer';
import { AdmissionQueue, type SlotRequest } from '@daisyferry/mesh/admission-queue';
import type { CallOutcome, CallReply, MeshCall, RefusalReasonName } from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import {
  ExecutionLedger,
  type AttemptEvent,
  type ExecutionRecord,
} from '@daisyferry/mesh/execution-ledger';
import type { LocalTarget } from '@daisyferry/mesh/local-target';
import type { HandledCall } from '@daisyferry/peering/peer-server';
import { judgeAnswer, type AnswerFields } from './answer-check';
import type { EventLog } from './event-log';
import type { HeaderNames } from './header-names';
import type { ExchangeResult } from './target-connection';
import type { RunningRequest, TargetPool } from './target-pool';

export interface HomeParts {
  readonly target: LocalTarget;
  readonly pool: TargetPool;
  readonly queue: AdmissionQueue;
  readonly ledger: ExecutionLedger;
  readonly headerNames: HeaderNames;
  readonly answerFields: AnswerFields;
  readonly log: EventLog;
  readonly clock: () => number;
  /** The target stopped or resumed taking connections. */
  readonly onTargetChange: () => void;
}

/** Time between two looks at waiting and running calls, in ms. */
const SWEEP_MS = 25;
/** Time beyond its deadline for which the target may still answer, in ms. */
const DEADLINE_SLACK_MS = 100;

/** The part of a daemon that hands calls to the target beside it. */
export class Home {
  private readonly active = new Set<HomeCall>();

  private sweepTimer: NodeJS.Timeout | undefined;

  private isClosing = false;

  constructor(readonly parts: HomeParts) {}

  get activeCount(): number {
    return this.active.size;
  }

  /** From now on new calls are refused; the ones that are here are finished. */
  close(): void {
    this.isClosing = true;
  }

  submit(call: MeshCall, body: Buffer, deliver: (reply: CallReply) => void): HandledCall {
    const nowMs = this.parts.clock();
    const obstacle = this.obstacle(call);
    const record = this.openRecord(call, deliver, nowMs);
    if (record === 'present') return NOTHING_TO_CANCEL;
    const handled = new HomeCall(call, body, deliver, record, this, nowMs);
    if (obstacle !== undefined) {
      handled.refuse(obstacle, 0);
      return handled;
    }
    this.active.add(handled);
    this.parts.queue.submit(handled, nowMs);
    if (this.active.size > 0) this.armSweep();
    return handled;
  }

  /** An entry asks what became of a call that it sent over a connection that broke. */
  resolve(requestId: string, deliver: (reply: CallReply) => void): void {
    const { ledger, log, clock } = this.parts;
    const record = ledger.resolve(requestId, clock());
    log.decision('attempt resolved', { requestId, state: record.state });
    if (record.reply !== undefined) deliver(record.reply);
    else if (record.state === 'barred') deliver(this.reply(refusal(RefusalReason.barred, 0)));
    else if (record.state === 'waiting' || record.state === 'running') record.deliver = deliver;
    else deliver(this.reply({ kind: 'unknown', detail: 'the answer is no longer held' }));
  }

  reply(outcome: CallOutcome): CallReply {
    return { outcome, load: this.parts.queue.load() };
  }

  done(call: HomeCall): void {
    this.active.delete(call);
  }

  /** The target does not take connections. */
  targetUnreachable(detail: string): void {
    if (!this.parts.target.noteUnreachable()) return;
    this.parts.log.belief('target unreachable', { detail });
    this.parts.queue.refuseAll(RefusalReason.unreachable);
    this.parts.onTargetChange();
  }

  private obstacle(call: MeshCall): RefusalReasonName | undefined {
    const { target } = this.parts;
    if (this.isClosing) return RefusalReason.leaving;
    const { announcement } = target;
    if (announcement?.targetId !== call.targetId || announcement.service !== call.service) {
      return RefusalReason.notHere;
    }
    return target.isServing ? undefined : RefusalReason.leaving;
  }

  private openRecord(
    call: MeshCall,
    deliver: (reply: CallReply) => void,
    nowMs: number,
  ): ExecutionRecord | undefined | 'present' {
    if (call.isIdempotent) return undefined;
    const opened = this.parts.ledger.open(call.requestId, deliver, nowMs);
    if (opened.kind === 'opened') return opened.record;
    this.resolve(call.requestId, deliver);
    return 'present';
  }

  private armSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      this.sweep(this.parts.clock());
      if (this.active.size > 0) this.armSweep();
    }, SWEEP_MS);
  }

  private sweep(nowMs: number): void {
    this.parts.queue.refuseHopeless(nowMs);
    for (const call of this.active) call.checkDeadline(nowMs);
    this.parts.ledger.sweep(nowMs);
  }
}

const NOTHING_TO_CANCEL: HandledCall = {
  cancel: () => undefined,
  connectionLost: () => undefined,
};

function refusal(reason: RefusalReasonName, roomInMs: number): CallOutcome {
  return { kind: 'refused', reason, reachedTarget: false, roomInMs };
}

/** One call at its home: waiting for a slot, running, or done. */
class HomeCall implements SlotRequest, HandledCall {
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
    private readonly home: Home,
    nowMs: number,
  ) {
    this.priority = call.priority;
    this.usefulUntilMs = nowMs + call.usefulMs;
    this.deadlineMs = nowMs + call.remainingMs;
  }

  start(nowMs: number): void {
    const { pool, ledger, headerNames, target } = this.home.parts;
    if (nowMs >= this.deadlineMs || !target.isServing) {
      this.home.parts.queue.finished(0, true, nowMs);
      this.refuse(target.isServing ? RefusalReason.expired : RefusalReason.leaving, 0);
      return;
    }
    if (this.record !== undefined && !ledger.step(this.record, 'HAND_OVER')) {
      this.home.parts.queue.finished(0, true, nowMs);
      return;
    }
    this.startedAtMs = nowMs;
    const { call } = this;
    const fields = [
      ...call.fields,
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
    const { queue, clock, answerFields } = this.home.parts;
    const nowMs = clock();
    const serviceMs = nowMs - this.startedAtMs;
    switch (result.kind) {
      case 'response': {
        const outcome = judgeAnswer(result.response, answerFields, queue.load().serviceMs);
        const isFailure = outcome.kind !== 'answered' || outcome.status >= 500;
        queue.finished(serviceMs, isFailure, nowMs);
        this.settle(outcomeEvent(outcome), outcome);
        return;
      }
      case 'notSent':
        queue.finished(serviceMs, true, nowMs);
        this.settle('SHED', refusal(RefusalReason.unreachable, 0));
        if (result.isRefused) this.home.targetUnreachable(result.detail);
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
    const { log, ledger, clock } = this.home.parts;
    const { requestId } = this.call;
    if (outcome.kind !== 'answered')
      log.decision('call not served at home', { requestId, ...outcome });
    const reply = this.home.reply(outcome);
    if (this.record === undefined) this.deliver(reply);
    else ledger.settle(this.record, event, reply, clock());
  }
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
