/** One attempt of a caller on its way to one target. */
export interface MeshCall {
  /** Id that the caller gave its attempt; the key of the execution record. */
  readonly requestId: string;
  readonly service: string;
  readonly targetId: string;
  /** Service in whose name the request was made. */
  readonly callerService: string;
  /** Name of the route; service times are kept by it. */
  readonly route: string;
  readonly isIdempotent: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time for which an answer is still of use, from the hand-over between the daemons. */
  readonly remainingMs: number;
  /** Part of `remainingMs` in which an answer earns its full worth. */
  readonly usefulMs: number;
  readonly method: string;
  readonly path: string;
  readonly fields: readonly string[];
}

/** Load of a target as its home sees it. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  /** Requests that the home lets the target work on at the same time. */
  readonly limit: number;
  /** Mean time that the target takes for one request. */
  readonly serviceMs: number;
  /** Load that is to be turned away before it is sent, see `ShedLevel`. */
  readonly level: number;
  /** Share of the home's calls that come on internal routes, 0 to 1. */
  readonly internalShare: number;
  /** Whether only other targets make calls on the call's route; undefined until it is known. */
  readonly isInternal: boolean | undefined;
  /** The same for the requests of the call's route, where known. */
  readonly routeMs: number | undefined;
}

export const RefusalReason = {
  notHere: 'notHere',
  leaving: 'leaving',
  unreachable: 'unreachable',
  full: 'full',
  expired: 'expired',
  cancelled: 'cancelled',
  shedByTarget: 'shedByTarget',
  barred: 'barred',
} as const;

export type RefusalReasonName = (typeof RefusalReason)[keyof typeof RefusalReason];

export type CallOutcome =
  /** The target's own answer. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly reason: string;
      readonly fields: readonly string[];
      readonly body: Buffer;
      /** True where the end of the target's connection was the only sign of the body's end. */
      readonly endsWithConnection: boolean;
    }
  /** The target did not run the request and never will under this id at this home. */
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReasonName;
      /** True if the request reached the target, which turned it away. */
      readonly reachedTarget: boolean;
      /** Forecast of the time until there is room. */
      readonly roomInMs: number;
    }
  /** The target may have run the request. */
  | { readonly kind: 'unknown'; readonly detail: string };

export interface CallReply {
  readonly outcome: CallOutcome;
  readonly load: TargetLoad | undefined;
}
