import type { CrashEvidence } from './crash-suspects';
import type { TargetNotice } from './target-notice';

/** Identity of one attempt of a caller's request. */
export interface Attempt {
  /** Id that the caller assigned, or the attempt key without one; the key of the execution record. */
  readonly requestId: string;
  /**
   * Assigned by the entry, unique among all entries: callers may use an id again. Undefined for an
   * idempotent call, which has no record, and from an earlier build.
   */
  readonly attemptKey: string | undefined;
}

/** One attempt of a caller's request, forwarded by its entry to the home of one target. */
export interface ForwardedCall extends Attempt {
  readonly service: string;
  readonly targetId: string;
  /** Service that the request is attributed to. */
  readonly callerService: string;
  /** Name of the route, by which service times are recorded. */
  readonly route: string;
  readonly isIdempotent: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time for which a response is still useful, counted from the transfer between the daemons. */
  readonly remainingMs: number;
  /** Part of `remainingMs` in which a response has its full value. */
  readonly usefulMs: number;
  readonly method: string;
  readonly path: string;
  readonly fields: readonly string[];
  /**
   * Rate limit that the target has stated to the entry, in requests a second; undefined without one.
   * A home that was restarted learns it from here.
   */
  readonly targetRatePerS?: number | undefined;
  /** Name of the client account that the request belongs to; undefined without one. */
  readonly account?: string | undefined;
  /**
   * Probability that this call repeats an earlier one, 0 to 1: 1 for a retry, otherwise the share of
   * repeats among the runs that it may be nested in; undefined stands for 0.
   */
  readonly repeatShare?: number | undefined;
  /** Crashes that the request is suspected of, as far as the entry knows; undefined without any. */
  readonly evidence?: CrashEvidence | undefined;
}

/** Load of a target as observed by its home. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  /**
   * Maximum number of requests that are at the target at the same time, on average where the target
   * limits their rate.
   */
  readonly limit: number;
  /** Mean service time of the target, over all routes. */
  readonly serviceMs: number;
  /** Load that the entries are to shed, see `ShedLevel`. */
  readonly level: number;
  /** Share of the home's calls that arrive on internal routes, 0 to 1. */
  readonly internalShare: number;
  /** Whether only other targets call the route of this call; undefined until it is known. */
  readonly isInternal: boolean | undefined;
  /** Mean service time of the target on the route of this call, if known. */
  readonly routeMs: number | undefined;
  /**
   * Share of the calls that the target itself turns away although it has room, 0 to 1; undefined
   * stands for 0.
   */
  readonly refusedShare?: number | undefined;
  /** What the target states; undefined until it has answered this process of the home. */
  readonly notice?: TargetNotice | undefined;
}

/** Calls that one run of a request makes to a service, itself and through the calls below it. */
export interface CallNeed {
  readonly service: string;
  /** Mean number of calls for each run. */
  readonly calls: number;
  /**
   * Share of these calls that targets turn away, 0 to 1, as experienced by the entries that make
   * them; undefined stands for 0.
   */
  readonly refusedShare?: number | undefined;
  /**
   * Part of the steady pace of retries that these entries can still make, as they have made others
   * lately, 0 to 1; undefined stands for 1.
   */
  readonly retryPace?: number | undefined;
}

export const CallRefusalReason = {
  notHere: 'notHere',
  leaving: 'leaving',
  unreachable: 'unreachable',
  full: 'full',
  expired: 'expired',
  cancelled: 'cancelled',
  shedByTarget: 'shedByTarget',
  barred: 'barred',
  unreadable: 'unreadable',
  /** The request has crashed the targets that ran it. */
  crashesTargets: 'crashesTargets',
  /** The request may crash the target, where another such request is running. */
  suspectRunning: 'suspectRunning',
} as const;

export type CallRefusalReasonName = (typeof CallRefusalReason)[keyof typeof CallRefusalReason];

export type ForwardedCallOutcome =
  /** The target's own response. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Reason phrase of the status line. */
      readonly reason: string;
      readonly fields: readonly string[];
      readonly body: Buffer;
      /** True if only the end of the target's connection delimited the body. */
      readonly endsWithConnection: boolean;
    }
  /** The target did not execute the request, and this home will never send it under this id. */
  | {
      readonly kind: 'refused';
      readonly reason: CallRefusalReasonName;
      /** True if the request reached the target, which rejected it. */
      readonly reachedTarget: boolean;
      /** Expected time until there is capacity. */
      readonly roomInMs: number;
    }
  /** The target may have executed the request. */
  | {
      readonly kind: 'unknown';
      readonly detail: string;
      /** True if the target answered, and this daemon has no memory for the response. */
      readonly isResponseDropped?: boolean | undefined;
      /** Crashes that the request is suspected of, if the target crashed while it ran. */
      readonly evidence?: CrashEvidence | undefined;
    };

/** What a home replies to an entry: the outcome of a call, and the load of its target. */
export interface CallReply {
  readonly outcome: ForwardedCallOutcome;
  readonly load: TargetLoad | undefined;
  /** What runs of the call's route need of other services; undefined if it is not news. */
  readonly needs?: readonly CallNeed[] | undefined;
}
