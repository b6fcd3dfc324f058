/**
 * Outcomes of one call, as reported to the caller.
 *
 * - `completed`: the target answered; the answer is whole.
 * - `not-run`: no target has run the call and none ever will under this ticket.
 * - `unknown`: the call may have run; nobody may repeat it unless it is idempotent.
 * - `failed`: the target ran the call and answered with an error of its own (5xx).
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
  /** Shed by class and hash of the root, by this hop's own threshold. */
  shed: 'shed',
  /** Shed at the entry because a hop further down publishes a lower threshold. */
  shedDownstream: 'shed-downstream',
  /** The admission queue is full or the time bound of the queue passed. */
  queueFull: 'queue-full',
  /** The remaining budget cannot cover the expected service time. */
  doomed: 'doomed',
  /** The deadline passed before hand-over. */
  deadlinePassed: 'deadline-passed',
  /** The caller disconnected before hand-over. */
  callerGone: 'caller-gone',
  /** The target said in its answer that it shed the call before any work. */
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
  /** A non-idempotent call came without a ticket. */
  ticketRequired: 'ticket-required',
  /** The ticket was refused earlier and will never run. */
  ticketRefused: 'ticket-refused',
  /** The ticket cannot be read or its signature is wrong. */
  ticketInvalid: 'ticket-invalid',
  /** The execution records are at their byte budget. */
  recordsFull: 'records-full',
  /** Retry tokens of the root or the retry share of the daemon are used up. */
  retriesExhausted: 'retries-exhausted',
  /** The request itself exceeds a limit or is malformed. */
  badRequest: 'bad-request',
} as const;

export type RefusalReasonName = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Why an outcome is unknown. */
export const UnknownReason = {
  /** The connection to the target was lost after hand-over. */
  targetLost: 'target-lost',
  /** The connection to the home daemon was lost after the call was sent. */
  homeLost: 'home-lost',
  /** The home daemon named by the caller's ticket cannot be reached. */
  homeUnreachable: 'home-unreachable',
  /** The ticket names an earlier incarnation of the home daemon. */
  otherIncarnation: 'other-incarnation',
  /** The ticket is past its lifetime. */
  ticketExpired: 'ticket-expired',
  /** The deadline passed while the call was running. */
  deadlineWhileRunning: 'deadline-while-running',
  /** The answer ended before its declared length. */
  answerCut: 'answer-cut',
  /** The ticket cannot be read here, or its signature is wrong; a call may have run under it. */
  ticketInvalid: 'ticket-invalid',
  /** This try did not run, but an earlier try of the same request may have. */
  earlierTry: 'earlier-try',
  /** The entry refused the request before it could ask the home that the ticket names. */
  notAsked: 'not-asked',
  /** The call ran and its answer is no longer held. */
  answerNotHeld: 'answer-not-held',
  /** A call with the same identifier is in progress at the home daemon. */
  duplicateCall: 'duplicate-call',
} as const;

export type UnknownReasonName = (typeof UnknownReason)[keyof typeof UnknownReason];

export interface Refusal {
  readonly outcome: typeof Outcome.notRun;
  readonly reason: RefusalReasonName;
  /** When the caller may come back, counted from now. */
  readonly retryAfterMs: number;
}

export interface UnknownOutcome {
  readonly outcome: typeof Outcome.unknown;
  readonly reason: UnknownReasonName;
}
