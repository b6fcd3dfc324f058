/** HTTP header names of the protocol, in lower case. `docs/callers.md` describes each. */
export const Header = {
  /** Called service; required in calls between daemons, elsewhere the daemon's own by default. */
  service: 'daisyferry-service',
  /** Remaining time budget in ms, a positive integer. */
  deadlineMs: 'daisyferry-deadline-ms',
  /** Ticket of a call; see ticket.ts. */
  ticket: 'daisyferry-ticket',
  /**
   * To a target: identifier of the executed call, which the target copies into its nested calls.
   * In a nested call, also between daemons: identifier of the call that it belongs to.
   */
  context: 'daisyferry-context',
  /** Outcome name, on every response. */
  outcome: 'daisyferry-outcome',
  /** Reason of a refusal or an unknown outcome. */
  reason: 'daisyferry-reason',
  /** Exact delay in ms after which a refused caller may retry. */
  retryAfterMs: 'daisyferry-retry-after-ms',
  /** Class that the daemon assigned to the call; sent to targets and returned to callers. */
  class: 'daisyferry-class',
  /** Set by a target to `before-work` on a 503 when it shed the call before doing any work. */
  shed: 'daisyferry-shed',
  /** Attempt number of the call, starting at 1; sent to targets, required between daemons. */
  attempt: 'daisyferry-attempt',
  /** Identifier of the root request; sent to targets and peers, and returned to callers. */
  root: 'daisyferry-root',
  /** Identifier of the call, sent to targets and peers; unique for each time it is handed over. */
  call: 'daisyferry-call',
} as const;

/** Header names used between daemons only; stripped from what callers and targets send. */
export const PeerHeader = {
  /** Rank of the most critical class on the call path so far. */
  rank: 'daisyferry-peer-rank',
  /** Retry tokens granted to the callee. */
  tokens: 'daisyferry-peer-tokens',
  /** Retry tokens that the callee did not use. */
  tokensReturned: 'daisyferry-peer-tokens-returned',
  /** Shedding threshold that the callee publishes for the method, downstream hops included. */
  threshold: 'daisyferry-peer-threshold',
  /** Load of the callee: in-flight and queued calls divided by its concurrency limit. */
  load: 'daisyferry-peer-load',
  /** Marks a caller's request that another daemon forwarded to the daemon named by its ticket. */
  forwarded: 'daisyferry-peer-forwarded',
  /** Greatest policy revision applied by the responding daemon. */
  revision: 'daisyferry-peer-revision',
} as const;

/** Value of the shed header that states that the target did no work for the call. */
export const SHED_BEFORE_WORK = 'before-work';
