/**
 * Outcomes of one call, as reported to the caller.
 *
 * - `completed`: the target sent a complete response.
 * - `not-run`: no target has run the call and none ever will under this ticket.
 * - `unknown`: the call may have run; it must not be repeated unless it is idempotent.
 * - `failed`: the target ran the call and responded with an error of its own (5xx).
 */
export const Outcome = {
  completed: 'completed',
  notRun: 'not-run',
  unknown: 'unknown',
  failed: 'failed',
} as const;

export type OutcomeName = (typeof Outcome)[keyof typeof Outcome];

/** Why a call was refused before it ran. */
export const RefusalReason = {
  /** Shed by this hop's own threshold, which compares the class and a hash of the root request. */
  shed: 'shed',
  /** Shed at the entry daemon because a downstream hop publishes a lower threshold. */
  shedDownstream: 'shed-downstream',
  /** The admission queue is full or the call exceeded the maximum queueing time. */
  queueFull: 'queue-full',
  /** The remaining time budget cannot cover the expected service time. */
  doomed: 'doomed',
  /** The deadline passed before the call was passed to the target. */
  deadlinePassed: 'deadline-passed',
  /** The caller disconnected before the call was passed to the target. */
  callerGone: 'caller-gone',
  /** The target's response states that it shed the call before doing any work. */
  targetShed: 'target-shed',
  /** The target or its daemon is leaving. */
  leaving: 'leaving',
  /** No target of the service is known or reachable. */
  noTarget: 'no-target',
  /** The daemon has no policies yet. */
  notReady: 'not-ready',
  /** No policy names the service. */
  unknownService: 'unknown-service',
  /** The service's policy has no rule for the method. */
  unknownMethod: 'unknown-method',
  /** A non-idempotent call has no ticket. */
  ticketRequired: 'ticket-required',
  /** The ticket was refused earlier; no call will run under it. */
  ticketRefused: 'ticket-refused',
  /** The ticket is malformed or its signature is invalid. */
  ticketInvalid: 'ticket-invalid',
  /** The execution records have reached their byte budget. */
  recordsFull: 'records-full',
  /** The retry tokens of the root request or the retry share of the daemon are exhausted. */
  retriesExhausted: 'retries-exhausted',
  /** The request itself exceeds a limit or is malformed. */
  badRequest: 'bad-request',
} as const;

export type RefusalReasonName = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Why an outcome is unknown. */
export const UnknownReason = {
  /** The connection to the target was lost after the call was passed to it. */
  targetLost: 'target-lost',
  /** The connection to the home daemon was lost after the call was sent. */
  homeLost: 'home-lost',
  /** The home daemon named by the caller's ticket cannot be reached. */
  homeUnreachable: 'home-unreachable',
  /** The ticket names an earlier incarnation of the home daemon. */
  otherIncarnation: 'other-incarnation',
  /** The ticket has expired. */
  ticketExpired: 'ticket-expired',
  /** The deadline passed while the call was running. */
  deadlineWhileRunning: 'deadline-while-running',
  /** The response ended before its declared length. */
  answerCut: 'answer-cut',
  /** The ticket is malformed or its signature is invalid here; a call may have run under it. */
  ticketInvalid: 'ticket-invalid',
  /** This attempt did not run, but an earlier attempt of the same request may have. */
  earlierTry: 'earlier-try',
  /** The entry daemon refused the request before it contacted the home daemon of the ticket. */
  notAsked: 'not-asked',
  /** The call ran, but its response is no longer stored. */
  answerNotHeld: 'answer-not-held',
  /** A call with the same identifier is in progress at the home daemon. */
  duplicateCall: 'duplicate-call',
} as const;

export type UnknownReasonName = (typeof UnknownReason)[keyof typeof UnknownReason];

export interface Refusal {
  readonly outcome: typeof Outcome.notRun;
  readonly reason: RefusalReasonName;
  /** Delay after which the caller may retry. */
  readonly retryAfterMs: number;
}

export interface UnknownOutcome {
  readonly outcome: typeof Outcome.unknown;
  readonly reason: UnknownReasonName;
}
