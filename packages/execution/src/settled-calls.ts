import type { Chart } from '@daisyferry/charts/chart';
import { UnknownReason } from '@daisyferry/model/outcome';
import { CallEvent } from './call-chart';
import type { Claim, RecordedAnswer } from './claim';
import { claimOfFact } from './claim-of-fact';
import { FactCodec, type Fact } from './fact';
import { nonceWords, type NonceWords } from './nonce';
import { answerBytes, type RecordSlice } from './record-slice';
import { RecordSlices } from './record-slices';

export interface SettledStats {
  readonly settled: number;
  readonly factBytes: number;
  readonly answerBytes: number;
  readonly answersHeld: number;
  /** Answers dropped before the expiry of their ticket, since the start. */
  readonly answersDropped: number;
}

/**
 * Settled calls until their tickets expire: facts, which are never dropped before, and answers,
 * which make room when the byte budget is used up.
 */
export class SettledCalls {
  private readonly slices: RecordSlices;

  private readonly codec: FactCodec;

  private factBytes = 0;

  private heldAnswerBytes = 0;

  private answersDropped = 0;

  constructor(
    private readonly chart: Chart,
    sliceMs: number,
  ) {
    this.slices = new RecordSlices(sliceMs);
    this.codec = new FactCodec(chart.states);
  }

  get bytes(): number {
    return this.factBytes + this.heldAnswerBytes;
  }

  /** The slice of an expiry time, made when absent. */
  sliceOf(expiresAtMs: number): RecordSlice {
    return this.slices.open(expiresAtMs);
  }

  /** Drops answers, those that expire first, until the settled calls fit; false if they cannot. */
  shrinkTo(bytes: number): boolean {
    while (this.bytes > bytes) {
      if (!this.dropOldestAnswer()) return false;
    }
    return true;
  }

  /** Reserves space for one fact, so that recording it cannot fail. */
  reserve(slice: RecordSlice): void {
    this.factBytes += slice.growthBytes();
    slice.reserve();
  }

  record(slice: RecordSlice, words: NonceWords, fact: Fact): void {
    slice.setFact(words, this.codec.encode(fact));
  }

  /** Keeps the answer of a recorded call if it fits into the bytes for settled calls. */
  hold(
    call: { readonly nonce: string; readonly words: NonceWords; readonly expiresAtMs: number },
    slice: RecordSlice,
    answer: RecordedAnswer,
    budgetBytes: number,
  ): void {
    const stillKept = this.slices.find(call.expiresAtMs) === slice;
    if (!stillKept) return;
    const neededBytes = answerBytes(answer);
    if (!this.shrinkTo(budgetBytes - neededBytes)) {
      this.markDropped(slice, call.words);
      return;
    }
    slice.holdAnswer(call.nonce, answer);
    this.heldAnswerBytes += neededBytes;
  }

  /** What a repeat of a ticket is told, or undefined when nothing is recorded of it. */
  claimOf(expiresAtMs: number, nonce: string, words: NonceWords): Claim | undefined {
    const slice = this.slices.find(expiresAtMs);
    return slice === undefined ? undefined : this.claimIn(slice, nonce, words);
  }

  /** The same for a nonce whose expiry is not at hand. */
  claimAnywhere(nonce: string): Claim {
    const words = nonceWords(nonce);
    for (const slice of this.slices.all()) {
      const settled = this.claimIn(slice, nonce, words);
      if (settled !== undefined) return settled;
    }
    return { kind: 'unknown', reason: UnknownReason.ticketExpired };
  }

  /** Forgets the calls whose tickets have expired; returns their number. */
  dropEnded(nowMs: number): number {
    let forgotten = 0;
    for (const slice of this.slices.dropEnded(nowMs)) {
      forgotten += slice.size;
      this.factBytes -= slice.factBytes;
      this.heldAnswerBytes -= slice.answerBytes;
    }
    return forgotten;
  }

  stats(): SettledStats {
    const slices = [...this.slices.all()];
    return {
      settled: slices.reduce((sum, slice) => sum + slice.size, 0),
      factBytes: this.factBytes,
      answerBytes: this.heldAnswerBytes,
      answersHeld: slices.reduce((sum, slice) => sum + slice.answersHeld, 0),
      answersDropped: this.answersDropped,
    };
  }

  private claimIn(slice: RecordSlice, nonce: string, words: NonceWords): Claim | undefined {
    const value = slice.factOf(words);
    if (value === undefined) return undefined;
    return claimOfFact(this.codec.decode(value), slice.answerOf(nonce), 'repeat');
  }

  private dropOldestAnswer(): boolean {
    const slice = this.slices.oldestWithAnswers();
    if (slice === undefined) return false;
    const before = slice.answerBytes;
    const nonce = slice.dropOldestAnswer();
    this.heldAnswerBytes -= before - slice.answerBytes;
    if (nonce !== undefined) this.markDropped(slice, nonceWords(nonce));
    return true;
  }

  private markDropped(slice: RecordSlice, words: NonceWords): void {
    this.answersDropped += 1;
    const value = slice.factOf(words);
    if (value === undefined) return;
    const fact = this.codec.decode(value);
    const state = this.chart.next(fact.state, CallEvent.dropAnswer);
    if (state !== undefined) this.record(slice, words, { ...fact, state });
  }
}
