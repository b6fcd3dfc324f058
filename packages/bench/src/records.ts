import type { OutcomeName } from '@daisyferry/model/outcome';

/** Headers that the bench adds to calls; daemons forward them without reading them. */
export const BenchHeader = {
  /** Identifier of the whole request, the same for all attempts of the caller. */
  request: 'bench-request',
  /** Identifier of one call of a caller or target; further deliveries with it are retries. */
  callKey: 'bench-call-key',
} as const;

/** Start of the execution of a call at a stand-in target. Each record is one JSON line. */
export interface ExecutionStart {
  readonly kind: 'start';
  readonly execution: string;
  readonly target: string;
  readonly service: string;
  readonly method: string;
  readonly request: string;
  readonly callKey: string;
  /** Identifier that the daemons gave to the call. */
  readonly call: string;
  /** Wall-clock time in ms, as all times of the records. */
  readonly arrivedMs: number;
  readonly startedMs: number;
}

/**
 * Outcome of a nested call as reported to its caller. `lost`: the request failed before a complete
 * response arrived; `none`: an error response without an outcome header.
 */
export interface NestedCallOutcome {
  readonly callKey: string;
  readonly outcome: OutcomeName | 'lost' | 'none';
  readonly reason: string;
}

export interface ExecutionEnd {
  readonly kind: 'end';
  readonly execution: string;
  readonly endedMs: number;
  readonly result: 'finished' | 'cancelled' | 'nested-failed' | 'deadline';
  readonly nested?: NestedCallOutcome;
}

/** A call that reached the target and left its queue before it started. */
export interface NotStartedCall {
  readonly kind: 'not-started';
  readonly target: string;
  readonly service: string;
  readonly request: string;
  readonly callKey: string;
  readonly arrivedMs: number;
}

export type TargetRecord = ExecutionStart | ExecutionEnd | NotStartedCall;

/**
 * How one attempt of a caller ended. `gave-up`: the caller's timeout passed; `unreachable`: no
 * connection was established; `lost`: any other failure of the request; `crossed`: a response to
 * another call; `cut`: a truncated response.
 */
export type AttemptEnd =
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
  /** Base URL of the entry daemon of the attempt. */
  readonly entry: string;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly result: AttemptEnd;
  readonly reason: string;
}

/** One whole request as seen by its caller, with all attempts. */
export interface RequestRecord {
  readonly request: string;
  readonly kind: string;
  readonly class: string;
  /** Intended start: the planned arrival, wall-clock ms. */
  readonly intendedMs: number;
  readonly endedMs: number;
  readonly completed: boolean;
  readonly attempts: readonly AttemptRecord[];
}
