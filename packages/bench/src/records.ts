import type { OutcomeName } from '@daisyferry/model/outcome';

/** Headers that the bench adds to calls; daemons pass them on unread. */
export const BenchHeader = {
  /** Identifier of the whole request, the same over all attempts of the caller. */
  request: 'bench-request',
  /** Identifier of the one call that a caller or target makes; repeats of it are retries. */
  callKey: 'bench-call-key',
} as const;

/** What one stand-in target did for one call. Written as one JSON line each. */
export interface ExecutionStart {
  readonly kind: 'start';
  readonly execution: string;
  readonly target: string;
  readonly service: string;
  readonly method: string;
  readonly request: string;
  readonly callKey: string;
  /** The daemons' identifier of the call. */
  readonly call: string;
  /** Wall-clock times in ms. */
  readonly arrivedMs: number;
  readonly startedMs: number;
}

/** What the caller of a nested call was told. */
export interface NestedTold {
  readonly callKey: string;
  readonly outcome: OutcomeName | 'lost' | 'none';
  readonly reason: string;
}

export interface ExecutionEnd {
  readonly kind: 'end';
  readonly execution: string;
  readonly endedMs: number;
  readonly result: 'finished' | 'cancelled' | 'nested-failed' | 'deadline';
  readonly nested?: NestedTold;
}

/** A call that reached the target and left its queue without having started. */
export interface NeverStarted {
  readonly kind: 'not-started';
  readonly target: string;
  readonly service: string;
  readonly request: string;
  readonly callKey: string;
  readonly arrivedMs: number;
}

export type TargetRecord = ExecutionStart | ExecutionEnd | NeverStarted;

/** How one attempt of a caller ended. */
export type AttemptResult =
  | 'completed'
  | 'not-run'
  | 'unknown'
  | 'failed'
  | 'gave-up'
  | 'lost'
  | 'unreachable'
  | 'crossed'
  | 'cut';

export interface AttemptRecord {
  readonly callKey: string;
  /** Base URL of the daemon at which the attempt entered. */
  readonly entry: string;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly result: AttemptResult;
  readonly reason: string;
}

/** One whole request as its caller saw it. */
export interface RequestRecord {
  readonly request: string;
  readonly kind: string;
  readonly class: string;
  /** Intended start: the seeded arrival, wall-clock ms. */
  readonly intendedMs: number;
  readonly endedMs: number;
  readonly completed: boolean;
  readonly attempts: readonly AttemptRecord[];
}
