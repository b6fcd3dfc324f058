import type {
  CallOutcome,
  CallReply,
  MeshCall,
  RefusalReasonName,
  TargetLoad,
} from '@daisyferry/mesh/call';
import { RefusalReason } from '@daisyferry/mesh/call';
import type { ExecutionRecord } from '@daisyferry/mesh/execution-record';
import type { HandledCall } from '@daisyferry/peering/inbound-peer';
import { HomeCall, refusal, type HomeCallHost, type HomeParts } from './home-call';

/** Time between two looks at waiting and running calls, in ms. */
const SWEEP_MS = 25;
const NOTHING_TO_CANCEL: HandledCall = {
  cancel: () => undefined,
  connectionLost: () => undefined,
};

const GONE_REPLY: CallReply = {
  outcome: { kind: 'unknown', detail: 'the answer is no longer held' },
  load: undefined,
};

/** The part of a daemon that hands calls to the target beside it. */
export class Home implements HomeCallHost {
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
    this.parts.callers.record(call.route, call.callerService);
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
    else if (record.state === 'barred')
      deliver({ outcome: refusal(RefusalReason.barred, 0), load: undefined });
    else if (record.isOpen) record.redirect(deliver);
    else deliver(GONE_REPLY);
  }

  reply(outcome: CallOutcome, route: string): CallReply {
    const { queue, serviceTimes, callers, clock } = this.parts;
    const load: TargetLoad = {
      ...queue.load(),
      level: this.level(clock()),
      internalShare: callers.internalShare,
      isInternal: callers.isInternal(route),
      routeMs: serviceTimes.meanMs(route),
    };
    return { outcome, load };
  }

  /** Load that is to be turned away before it is sent here, for lack of room here or downstream. */
  level(nowMs: number): number {
    const { shedLevel, downstream } = this.parts;
    return Math.max(shedLevel.value, downstream.value(nowMs));
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

  /** The target answered, so it takes work again if it was out of reach. */
  targetReached(): void {
    if (!this.parts.target.noteReachable()) return;
    this.parts.log.belief('target reached again');
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
      if (this.active.size > 0 || this.level(this.parts.clock()) > 0) this.armSweep();
    }, SWEEP_MS);
  }

  private sweep(nowMs: number): void {
    const { queue, shedLevel, classCount, levelNotice, onLevel, silence } = this.parts;
    shedLevel.update(queue.waitMs, classCount(), nowMs);
    const level = this.level(nowMs);
    if (levelNotice.isDue(level, nowMs)) onLevel(level);
    queue.refuseHopeless(nowMs);
    for (const call of this.active) call.checkDeadline(nowMs);
    if (silence.isSilent(queue.running, queue.load().serviceMs, nowMs)) {
      this.targetUnreachable('no answer to any request');
    }
    this.parts.ledger.sweep(nowMs);
  }
}
