import type { CallClassRank } from '@daisyferry/model/call-class';
import type { Refusal, RefusalReasonName } from '@daisyferry/model/outcome';
import type { LimitRule } from '@daisyferry/model/policy';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { PatienceTracker } from './patience-tracker';

export interface AdmissionOptions {
  /** Maximum of the concurrency limit: calls that the target accepts at one time. */
  readonly slots: number;
  readonly limits: LimitRule;
  /** Names of mechanisms that are switched off; see `Mechanism`. */
  readonly disabled?: ReadonlySet<string>;
  /** Jitter of the retry delays sent to refused callers. */
  readonly random: RandomSource;
  /** Patience of callers, if another component of the daemon observes it as well. */
  readonly patience?: PatienceTracker;
}

/** A call that requests a slot of the target. */
export interface AdmissionRequest {
  /** Unique among the calls that have not finished. */
  readonly callId: string;
  readonly method: string;
  readonly rank: CallClassRank;
  /** Hash of the root request (`rootHashOf`), in [0, 1). */
  readonly rootHash: number;
  readonly deadlineAtMs: number;
}

/**
 * Decision on an offered call; each call gets exactly one. A call that its caller cancels while it
 * is queued is refused with `caller-gone`.
 */
export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly callId: string; readonly queuedMs: number }
  | { readonly kind: 'refused'; readonly callId: string; readonly refusal: Refusal };

/**
 * How an admitted call released its slot.
 * - `completed`: the target responded.
 * - `failed`: the target responded with an error, or the connection to it was lost.
 * - `shedByTarget`: the target shed the call before doing any work.
 * - `abandoned`: the caller disconnected or the deadline passed, and the execution was cancelled.
 * - `notSent`: the target could not be reached; the call does not enter any estimate.
 */
export interface FinishReport {
  readonly kind: 'completed' | 'failed' | 'shedByTarget' | 'abandoned' | 'notSent';
}

/** State of the admission of one daemon, for metrics and `explain`. */
export interface AdmissionSnapshot {
  /** Current concurrency limit. */
  readonly limit: number;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly threshold: number;
  /** Time in ms to drain the current queue. */
  readonly backlogMs: number;
  /** Mean slot occupancy of a call in ms; undefined before the first sample. */
  readonly meanOccupancyMs: number | undefined;
  readonly offered: number;
  readonly admitted: number;
  /** Calls finished, by kind of report. */
  readonly finished: Readonly<Record<FinishReport['kind'], number>>;
  /** Calls refused, by reason. */
  readonly refused: Readonly<Partial<Record<RefusalReasonName, number>>>;
}
