/** HTTP header names of the protocol, in lower case. `docs/callers.md` describes each. */
export const Header = {
  /** Service that the call is for; on a callers' listener the daemon's own service is the default. */
  service: 'daisyferry-service',
  /** Remaining budget in ms, a positive integer. */
  deadlineMs: 'daisyferry-deadline-ms',
  /** Ticket of a call; see ticket.ts. */
  ticket: 'daisyferry-ticket',
  /** Identifier of the call in progress that a nested call belongs to; targets copy it. */
  context: 'daisyferry-context',
  /** Outcome name on every answer. */
  outcome: 'daisyferry-outcome',
  /** Reason of a refusal or an unknown outcome. */
  reason: 'daisyferry-reason',
  /** Exact time in ms after which a refused caller may come back. */
  retryAfterMs: 'daisyferry-retry-after-ms',
  /** Class that the daemon assigned to the call. */
  class: 'daisyferry-class',
  /** Set by a target to `before-work` on a 503 when it shed the call before doing any work. */
  shed: 'daisyferry-shed',
  /** Number of this attempt of a call, starting at 1; informs targets and logs. */
  attempt: 'daisyferry-attempt',
  /** Identifier of the root request, sent to targets and between daemons. */
  root: 'daisyferry-root',
  /** Identifier of the executed call; unique for each hand-over to a target. */
  call: 'daisyferry-call',
} as const;

/** Header names used between daemons only; stripped from what callers and targets send. */
export const PeerHeader = {
  /** Rank of the greatest class on the path so far. */
  rank: 'daisyferry-peer-rank',
  /** Retry tokens granted to the callee. */
  tokens: 'daisyferry-peer-tokens',
  /** Retry tokens that the callee did not use. */
  tokensReturned: 'daisyferry-peer-tokens-returned',
  /** Threshold that the callee publishes for the called method, downstream hops included. */
  threshold: 'daisyferry-peer-threshold',
  /** Load of the callee: in-flight and queued calls divided by its limit. */
  load: 'daisyferry-peer-load',
  /** Marks a caller's request that another daemon passes on to the one its ticket names. */
  forwarded: 'daisyferry-peer-forwarded',
  /** Greatest policy revision that the answering daemon applies. */
  revision: 'daisyferry-peer-revision',
} as const;

/** Value of the shed header by which a target states that nothing ran. */
export const SHED_BEFORE_WORK = 'before-work';
