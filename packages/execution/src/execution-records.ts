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
import type { CallSummary } from './call-summary';
import type { Claim, RecordedResponse } from './claim';
import { claimFromSummary, type ResponseSummary } from './claim-from-summary';
import type { ExpiryBucket } from './expiry-bucket';
import { nonceWords, type NonceWords } from './nonce';
import { SettledCalls } from './settled-calls';
import type { Ticket } from './ticket';

export interface ExecutionRecordsOptions {
  readonly self: DaemonId;
  /** Maximum size of records and responses together. */
  readonly byteBudget: number;
  /** Maximum ticket lifetime of any policy. */
  readonly maxLifetimeMs: number;
  /** Maximum clock skew between daemons with which tickets are accepted. */
  readonly maxClockSkewMs: number;
}

export interface ExecutionStats {
  /** Calls in progress and settled calls kept. */
  readonly records: number;
  readonly inProgress: number;
  /** Bytes counted against the budget. */
  readonly bytes: number;
  readonly summaryBytes: number;
  readonly responseBytes: number;
  readonly responsesKept: number;
  /** Responses dropped before the expiry of their ticket, since the start. */
  readonly responsesDropped: number;
  /** Calls refused because their summaries would exceed the byte budget, since the start. */
  readonly refusedForCapacity: number;
  /** Events without a transition in the state of their call, since the start. */
  readonly ignoredEvents: number;
}

interface LiveCall {
  readonly nonce: string;
  readonly words: NonceWords;
  readonly expiresAtMs: number;
  readonly bucket: ExpiryBucket;
  state: string;
  listeners: ((settled: Claim) => void)[];
}

const BUCKETS_PER_LIFETIME = 16;
/** Memory used by one call in progress. */
const LIVE_CALL_BYTES = 400;
/** Tickets whose time to expiry exceeds this multiple of the maximum leave no record. */
const MAX_REMEMBERED_FACTOR = 2;

/**
 * Execution records of one incarnation of a daemon; they alone decide whether a call may be handed
 * over to the target. A nonce is handed over at most once, a refused nonce never. Calls in progress
 * are objects; a settled call is reduced to a summary of 20 bytes that is kept until its ticket has
 * expired.
 */
export class ExecutionRecords {
  private readonly live = new Map<string, LiveCall>();

  private readonly settled: SettledCalls;

  private readonly liveStates: ReadonlySet<string>;

  private readonly maxTimeToExpiryMs: number;

  private latestMs = Number.NEGATIVE_INFINITY;

  private refusedForCapacity = 0;

  private ignoredEvents = 0;

  private isLeaving = false;

  constructor(
    private readonly options: ExecutionRecordsOptions,
    private readonly chart: Chart = loadCallChart(),
  ) {
    this.maxTimeToExpiryMs = options.maxLifetimeMs + options.maxClockSkewMs;
    const bucketMs = Math.max(1, Math.ceil(this.maxTimeToExpiryMs / BUCKETS_PER_LIFETIME));
    this.settled = new SettledCalls(chart, bucketMs);
    this.liveStates = new Set(chart.states.filter((state) => this.isLive(state)));
  }

  /** While true, tickets that were not seen before are refused permanently. */
  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
  }

  /** Claims a ticket. Only a granted call may be offered to admission. */
  claim(ticket: Ticket, nowMs: number): Claim {
    const time = this.advanceClock(nowMs);
    if (!this.namesThisIncarnation(ticket))
      return { kind: 'unknown', reason: UnknownReason.otherIncarnation };
    if (this.live.has(ticket.nonce)) return { kind: 'join' };
    const words = nonceWords(ticket.nonce);
    const settled = this.settled.claimFor(ticket.expiresAtMs, ticket.nonce, words);
    return settled ?? this.claimNew(ticket, words, time);
  }

  /**
   * Calls the listener once when the call settles, or immediately if it has settled already.
   * @returns A function that removes the listener.
   */
  onSettled(nonce: string, listener: (settled: Claim) => void): () => void {
    const call = this.live.get(nonce);
    if (call === undefined) {
      listener(this.settled.claimByNonce(nonce));
      return () => undefined;
    }
    call.listeners.push(listener);
    return () => {
      call.listeners = call.listeners.filter((present) => present !== listener);
    };
  }

  /**
   * Moves a claimed call to running. Returns false when the call must not run: it was refused or
   * handed over before, or its ticket has expired, which refuses it permanently.
   */
  handOver(nonce: string, nowMs: number): boolean {
    const time = this.advanceClock(nowMs);
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

  /** Refuses a claimed call permanently; false when it was handed over or has settled. */
  refuse(nonce: string, reason: RefusalReasonName, nowMs: number): boolean {
    this.advanceClock(nowMs);
    return this.settle(nonce, CallEvent.refuse, { reason });
  }

  /**
   * Records the response of a running call.
   * @param response The complete response, or undefined when it is too large to be kept.
   * @param summaryIfNotKept Summary of a response that is not kept; without it, repeats get the
   * outcome `unknown`.
   */
  answered(
    nonce: string,
    response: RecordedResponse | undefined,
    nowMs: number,
    summaryIfNotKept: ResponseSummary = { statusCode: 0, outcome: Outcome.unknown },
  ): void {
    this.advanceClock(nowMs);
    const { statusCode, outcome } = response ?? summaryIfNotKept;
    this.settle(nonce, CallEvent.answer, { statusCode, outcome }, response);
  }

  /** Records that the outcome of a running call is unknown. */
  lost(nonce: string, reason: UnknownReasonName, nowMs: number): void {
    this.advanceClock(nowMs);
    this.settle(nonce, CallEvent.lose, { reason });
  }

  /** Records that the target shed a running call before doing any work. */
  targetShed(nonce: string, nowMs: number): void {
    this.advanceClock(nowMs);
    this.settle(nonce, CallEvent.targetShed, { reason: RefusalReason.targetShed });
  }

  /**
   * Removes settled calls whose tickets have expired, and refuses expired calls that were not handed
   * over.
   * @returns The number of records removed.
   */
  sweep(nowMs: number): number {
    const time = this.advanceClock(nowMs);
    for (const call of [...this.live.values()]) {
      if (time >= call.expiresAtMs) this.refuse(call.nonce, RefusalReason.deadlinePassed, time);
    }
    return this.settled.removeExpired(time);
  }

  stats(): ExecutionStats {
    const { settled, ...sizes } = this.settled.stats();
    return {
      ...sizes,
      records: this.live.size + settled,
      inProgress: this.live.size,
      bytes: this.liveBytes() + this.settled.bytes,
      refusedForCapacity: this.refusedForCapacity,
      ignoredEvents: this.ignoredEvents,
    };
  }

  private claimNew(ticket: Ticket, words: NonceWords, nowMs: number): Claim {
    const timeToExpiryMs = ticket.expiresAtMs - nowMs;
    if (!(timeToExpiryMs > 0) || timeToExpiryMs > MAX_REMEMBERED_FACTOR * this.maxTimeToExpiryMs) {
      return { kind: 'unknown', reason: UnknownReason.ticketExpired };
    }
    const bucket = this.settled.bucketFor(ticket.expiresAtMs);
    if (bucket.isRefused(words)) return { kind: 'refused', reason: RefusalReason.ticketRefused };
    const refusal = this.findRefusalReason(timeToExpiryMs, bucket);
    if (refusal !== undefined) {
      bucket.addRefused(words);
      return { kind: 'refused', reason: refusal };
    }
    this.startCall(ticket, words, bucket);
    return { kind: 'granted' };
  }

  private findRefusalReason(
    timeToExpiryMs: number,
    bucket: ExpiryBucket,
  ): RefusalReasonName | undefined {
    if (timeToExpiryMs > this.maxTimeToExpiryMs) return RefusalReason.ticketInvalid;
    if (this.isLeaving) return RefusalReason.leaving;
    const neededBytes = this.liveBytes() + LIVE_CALL_BYTES + bucket.growthBytes();
    if (this.settled.shrinkTo(this.options.byteBudget - neededBytes)) return undefined;
    this.refusedForCapacity += 1;
    return RefusalReason.recordsFull;
  }

  private startCall(ticket: Ticket, words: NonceWords, bucket: ExpiryBucket): void {
    this.settled.reserve(bucket);
    this.live.set(ticket.nonce, {
      nonce: ticket.nonce,
      words,
      expiresAtMs: ticket.expiresAtMs,
      bucket,
      state: this.chart.initial,
      listeners: [],
    });
  }

  private settle(
    nonce: string,
    event: CallEventName,
    summary: Partial<CallSummary>,
    response?: RecordedResponse,
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
    const fullSummary = { statusCode: 0, outcome: Outcome.unknown, ...summary, state };
    this.settled.storeSummary(call.bucket, call.words, fullSummary);
    if (response !== undefined) {
      this.settled.keepResponse(
        call,
        call.bucket,
        response,
        this.options.byteBudget - this.liveBytes(),
      );
    }
    const settled = claimFromSummary(fullSummary, response, 'first');
    for (const listener of call.listeners) listener(settled);
    return true;
  }

  private namesThisIncarnation(ticket: Ticket): boolean {
    const { self } = this.options;
    return ticket.home.name === self.name && ticket.home.incarnation === self.incarnation;
  }

  /** Whether a call in this state may still be handed over or receive a result. */
  private isLive(state: string): boolean {
    const progressEvents = [CallEvent.handOver, CallEvent.refuse, CallEvent.answer, CallEvent.lose];
    return progressEvents.some((event) => this.chart.next(state, event) !== undefined);
  }

  private liveBytes(): number {
    return this.live.size * LIVE_CALL_BYTES;
  }

  /** Returns a monotonic time, even if the times passed in step back. */
  private advanceClock(nowMs: number): number {
    this.latestMs = Math.max(this.latestMs, nowMs);
    return this.latestMs;
  }
}

export type { Claim, RecordedResponse };
