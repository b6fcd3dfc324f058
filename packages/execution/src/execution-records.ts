import type { Chart } from '@daisyferry/charts/chart';
import type { DaemonId } from '@daisyferry/model/member';
import {
  Outcome,
  RefusalReason,
  UnknownReason,
  type RefusalReasonName,
  type UnknownReasonName,
} from '@daisyferry/model/outcome';
import { CallEvent, loadCallChart, type CallEventName } from './call-chart';
import type { Claim, RecordedAnswer } from './claim';
import { claimOfFact, type RanFact } from './claim-of-fact';
import type { Fact } from './fact';
import { nonceWords, type NonceWords } from './nonce';
import type { RecordSlice } from './record-slice';
import { SettledCalls } from './settled-calls';
import type { Ticket } from './ticket';

export interface ExecutionRecordsOptions {
  readonly self: DaemonId;
  /** Bytes of records and answers together. */
  readonly byteBudget: number;
  /** Longest ticket lifetime of any policy. */
  readonly maxLifetimeMs: number;
  /** Difference of clocks between daemons up to which tickets are accepted. */
  readonly maxClockSkewMs: number;
}

export interface ExecutionStats {
  /** Calls in progress and settled calls kept. */
  readonly records: number;
  readonly inProgress: number;
  /** Bytes counted against the budget. */
  readonly bytes: number;
  readonly factBytes: number;
  readonly answerBytes: number;
  readonly answersHeld: number;
  /** Answers dropped before the expiry of their ticket, since the start. */
  readonly answersDropped: number;
  /** Calls refused because the facts would not fit, since the start. */
  readonly refusedFull: number;
  /** Events that the chart does not allow in the state of their call, since the start. */
  readonly ignoredEvents: number;
}

interface LiveCall {
  readonly nonce: string;
  readonly words: NonceWords;
  readonly expiresAtMs: number;
  readonly slice: RecordSlice;
  state: string;
  listeners: ((settled: Claim) => void)[];
}

const SLICES_PER_LIFETIME = 16;
/** Memory of one call in progress. */
const LIVE_CALL_BYTES = 400;
/** Tickets that expire later than this many times the accepted bound are not even remembered. */
const REMEMBERED_BOUNDS = 2;

/**
 * Execution records of one run of a daemon: the only place that may allow a call to be handed to
 * the target. A nonce is handed over at most once, a refused nonce never. Calls in progress are
 * objects; settled calls shrink to a fact of 20 bytes that lasts until the ticket has expired.
 */
export class ExecutionRecords {
  private readonly live = new Map<string, LiveCall>();

  private readonly settled: SettledCalls;

  private readonly liveStates: ReadonlySet<string>;

  private readonly acceptedAheadMs: number;

  private latestMs = Number.NEGATIVE_INFINITY;

  private refusedFull = 0;

  private ignoredEvents = 0;

  private leaving = false;

  constructor(
    private readonly options: ExecutionRecordsOptions,
    private readonly chart: Chart = loadCallChart(),
  ) {
    this.acceptedAheadMs = options.maxLifetimeMs + options.maxClockSkewMs;
    const sliceMs = Math.max(1, Math.ceil(this.acceptedAheadMs / SLICES_PER_LIFETIME));
    this.settled = new SettledCalls(chart, sliceMs);
    this.liveStates = new Set(chart.states.filter((state) => this.isLive(state)));
  }

  /** While true, tickets not seen before are refused for ever. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Asks whether the call of a ticket may be offered to admission. */
  claim(ticket: Ticket, nowMs: number): Claim {
    const time = this.advance(nowMs);
    if (!this.isOwn(ticket)) return { kind: 'unknown', reason: UnknownReason.otherIncarnation };
    if (this.live.has(ticket.nonce)) return { kind: 'join' };
    const words = nonceWords(ticket.nonce);
    const settled = this.settled.claimOf(ticket.expiresAtMs, ticket.nonce, words);
    return settled ?? this.claimNew(ticket, words, time);
  }

  /**
   * Calls the listener once, when the call settles; at once when it has settled already.
   * @returns A function that removes the listener.
   */
  onSettled(nonce: string, listener: (settled: Claim) => void): () => void {
    const call = this.live.get(nonce);
    if (call === undefined) {
      listener(this.settled.claimAnywhere(nonce));
      return () => undefined;
    }
    call.listeners.push(listener);
    return () => {
      call.listeners = call.listeners.filter((present) => present !== listener);
    };
  }

  /**
   * Moves a claimed call to running. False when it must not run: it is refused, has been handed
   * over before, or its ticket has expired, which refuses it for ever.
   */
  handOver(nonce: string, nowMs: number): boolean {
    const time = this.advance(nowMs);
    const call = this.live.get(nonce);
    if (call === undefined) return false;
    if (time >= call.expiresAtMs) {
      this.refuse(nonce, RefusalReason.deadlinePassed, nowMs);
      return false;
    }
    const next = this.chart.next(call.state, CallEvent.handOver);
    if (next === undefined) return false;
    call.state = next;
    return true;
  }

  /** Refuses a claimed call for ever; false when it has been handed over or settled. */
  refuse(nonce: string, reason: RefusalReasonName, nowMs: number): boolean {
    this.advance(nowMs);
    return this.settle(nonce, CallEvent.refuse, { reason });
  }

  /**
   * Records the answer of a running call.
   * @param answer The whole answer, or undefined when it is too large to be kept.
   * @param ran What to state of an answer that is not kept; without it repeats are told `unknown`.
   */
  answered(
    nonce: string,
    answer: RecordedAnswer | undefined,
    nowMs: number,
    ran: RanFact = { statusCode: 0, outcome: Outcome.unknown },
  ): void {
    this.advance(nowMs);
    const { statusCode, outcome } = answer ?? ran;
    this.settle(nonce, CallEvent.answer, { statusCode, outcome }, answer);
  }

  /** Records that the outcome of a running call cannot be known. */
  lost(nonce: string, reason: UnknownReasonName, nowMs: number): void {
    this.advance(nowMs);
    this.settle(nonce, CallEvent.lose, { reason });
  }

  /** Records that the target stated that it shed a running call before any work. */
  targetShed(nonce: string, nowMs: number): void {
    this.advance(nowMs);
    this.settle(nonce, CallEvent.targetShed, { reason: RefusalReason.targetShed });
  }

  /**
   * Forgets settled calls whose tickets have expired, and refuses expired calls never handed over.
   * @returns The number of records forgotten.
   */
  sweep(nowMs: number): number {
    const time = this.advance(nowMs);
    for (const call of [...this.live.values()]) {
      if (time >= call.expiresAtMs) this.refuse(call.nonce, RefusalReason.deadlinePassed, time);
    }
    return this.settled.dropEnded(time);
  }

  stats(): ExecutionStats {
    const { settled, ...sizes } = this.settled.stats();
    return {
      ...sizes,
      records: this.live.size + settled,
      inProgress: this.live.size,
      bytes: this.liveBytes() + this.settled.bytes,
      refusedFull: this.refusedFull,
      ignoredEvents: this.ignoredEvents,
    };
  }

  private claimNew(ticket: Ticket, words: NonceWords, nowMs: number): Claim {
    const aheadMs = ticket.expiresAtMs - nowMs;
    if (!(aheadMs > 0) || aheadMs > REMEMBERED_BOUNDS * this.acceptedAheadMs) {
      return { kind: 'unknown', reason: UnknownReason.ticketExpired };
    }
    const slice = this.settled.sliceOf(ticket.expiresAtMs);
    if (slice.isRefused(words)) return { kind: 'refused', reason: RefusalReason.ticketRefused };
    const refusal = this.refusalOfNew(aheadMs, slice);
    if (refusal !== undefined) {
      slice.refuseForever(words);
      return { kind: 'refused', reason: refusal };
    }
    this.start(ticket, words, slice);
    return { kind: 'granted' };
  }

  private refusalOfNew(aheadMs: number, slice: RecordSlice): RefusalReasonName | undefined {
    if (aheadMs > this.acceptedAheadMs) return RefusalReason.ticketInvalid;
    if (this.leaving) return RefusalReason.leaving;
    const neededBytes = this.liveBytes() + LIVE_CALL_BYTES + slice.growthBytes();
    if (this.settled.shrinkTo(this.options.byteBudget - neededBytes)) return undefined;
    this.refusedFull += 1;
    return RefusalReason.recordsFull;
  }

  private start(ticket: Ticket, words: NonceWords, slice: RecordSlice): void {
    this.settled.reserve(slice);
    this.live.set(ticket.nonce, {
      nonce: ticket.nonce,
      words,
      expiresAtMs: ticket.expiresAtMs,
      slice,
      state: this.chart.initial,
      listeners: [],
    });
  }

  private settle(
    nonce: string,
    event: CallEventName,
    fact: Partial<Fact>,
    answer?: RecordedAnswer,
  ): boolean {
    const call = this.live.get(nonce);
    const state = call && this.chart.next(call.state, event);
    if (call === undefined || state === undefined) {
      this.ignoredEvents += 1;
      return false;
    }
    call.state = state;
    if (this.liveStates.has(state)) return true;
    this.live.delete(nonce);
    const whole = { statusCode: 0, outcome: Outcome.unknown, ...fact, state };
    this.settled.record(call.slice, call.words, whole);
    if (answer !== undefined) {
      this.settled.hold(call, call.slice, answer, this.options.byteBudget - this.liveBytes());
    }
    const settled = claimOfFact(whole, answer, 'first');
    for (const listener of call.listeners) listener(settled);
    return true;
  }

  private isOwn(ticket: Ticket): boolean {
    const { self } = this.options;
    return ticket.home.name === self.name && ticket.home.incarnation === self.incarnation;
  }

  /** A state is live while the call may still be handed over or a result may still come. */
  private isLive(state: string): boolean {
    const leaving = [CallEvent.handOver, CallEvent.refuse, CallEvent.answer, CallEvent.lose];
    return leaving.some((event) => this.chart.next(state, event) !== undefined);
  }

  private liveBytes(): number {
    return this.live.size * LIVE_CALL_BYTES;
  }

  /** Time never steps back, whatever is passed in. */
  private advance(nowMs: number): number {
    this.latestMs = Math.max(this.latestMs, nowMs);
    return this.latestMs;
  }
}

export type { Claim, RecordedAnswer };
