import type { CallClassRank } from '@daisyferry/model/call-class';
import type { Refusal, RefusalReasonName } from '@daisyferry/model/outcome';
import type { LimitRule } from '@daisyferry/model/policy';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { PatienceBook } from './patience';

export interface AdmissionOptions {
  /** Ceiling of the concurrency limit: calls that the target accepts at one time. */
  readonly slots: number;
  readonly limits: LimitRule;
  /** Names of mechanisms that are switched off; see `Mechanism`. */
  readonly disabled?: ReadonlySet<string>;
  /** Spreads the times after which refused callers come back. */
  readonly random: RandomSource;
  /** How long callers wait, if another part of the daemon learns it too. */
  readonly patience?: PatienceBook;
}

/** A call that asks for a slot of the target. */
export interface AdmissionRequest {
  /** Unique among the calls that have not finished. */
  readonly callId: string;
  readonly method: string;
  readonly rank: CallClassRank;
  /** `rootHashOf` the root request, in [0, 1). */
  readonly rootHash: number;
  readonly deadlineAtMs: number;
}

/**
 * The one decision on an offered call. A call whose caller cancels while it is queued is decided as
 * refused for `caller-gone`.
 */
export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly callId: string; readonly queuedMs: number }
  | { readonly kind: 'refused'; readonly callId: string; readonly refusal: Refusal };

/**
 * How an admitted call gave its slot back.
 * - `completed`: the target answered.
 * - `failed`: the target answered with an error of its own, or was lost.
 * - `shedByTarget`: the target refused the call before any work.
 * - `abandoned`: the caller left or the deadline passed, and the target was told to stop.
 * - `notSent`: the target could not be reached; nothing is learned from it.
 */
export interface FinishReport {
  readonly kind: 'completed' | 'failed' | 'shedByTarget' | 'abandoned' | 'notSent';
}

/** State of the admission of one daemon, for metrics and `explain`. */
export interface AdmissionSnapshot {
  /** Calls that may be in flight now. */
  readonly limit: number;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly threshold: number;
  /** Time in ms that the present queue needs to drain. */
  readonly backlogMs: number;
  /** Mean time in ms for which a call holds its slot; undefined before the first. */
  readonly meanServiceMs: number | undefined;
  readonly offered: number;
  readonly admitted: number;
  /** Calls finished, by kind of report. */
  readonly finished: Readonly<Record<FinishReport['kind'], number>>;
  /** Calls refused, by reason. */
  readonly refused: Readonly<Partial<Record<RefusalReasonName, number>>>;
}
