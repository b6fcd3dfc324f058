import type { MemberView, TargetStateName } from '@daisyferry/model/member';
import type { TimelineEvent } from '@daisyferry/model/timeline-event';

export const DrainOutcome = {
  /** The target is leaving service. */
  begun: 'begun',
  /** Nothing changed; `reason` says why. */
  refused: 'refused',
  /** The answer of the daemon was lost; asking again is harmless. */
  unknown: 'unknown',
} as const;

export type DrainOutcomeName = (typeof DrainOutcome)[keyof typeof DrainOutcome];

export interface DrainResult {
  readonly outcome: DrainOutcomeName;
  /** Empty for a drain that has begun. */
  readonly reason: string;
  readonly daemon: string;
  /** State of the target after the call; absent when it is not known. */
  readonly targetState?: TargetStateName | 'left';
  /** Calls handed over to the target and not yet answered. */
  readonly inFlight: number;
}

export interface LaggingDaemon {
  readonly daemon: string;
  readonly service: string;
  /** Absent for a daemon that did not answer. */
  readonly appliedRevision?: number;
}

export interface FleetStatus {
  readonly daemon: string;
  readonly incarnation: string;
  readonly service: string;
  readonly appliedRevision: number;
  /** Absent while the store does not answer. */
  readonly headRevision?: number;
  readonly ready: boolean;
  readonly targetState: TargetStateName | 'left';
  readonly members: number;
  /** Revision that the daemons were compared with. */
  readonly comparedRevision: number;
  readonly lagging: readonly LaggingDaemon[];
  /** Times that the store was found at an older revision than the one applied. */
  readonly storeRegressions: number;
}

/** One refused call, as the daemon remembers it. */
export interface ExplainedRefusal {
  readonly call: string;
  readonly root: string;
  readonly service: string;
  /** Name of the method's rule; empty where none matched. */
  readonly method: string;
  readonly class: string;
  readonly reason: string;
  /** What the decision compared, in words. */
  readonly detail: string;
  readonly wallMs: number;
}

/** One limit of the daemon at present. */
export interface ExplainedLimit {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly detail: string;
}

export interface Explanation {
  /** The latest first. */
  readonly refusals: readonly ExplainedRefusal[];
  readonly limits: readonly ExplainedLimit[];
}

export interface DaemonTimelinePage {
  readonly events: readonly TimelineEvent[];
  readonly daemon: string;
  readonly incarnation: string;
  /** Events that left the ring before they were read. */
  readonly lost: number;
}

/** What the administration API asks the daemon that serves it, besides the policies. */
export interface FleetAdmin {
  /** Members of one service, or all. */
  members(service: string | undefined): readonly MemberView[];
  /** Makes the target beside the named daemon, or beside this one, leave service. */
  drain(daemon: string | undefined, force: boolean): Promise<DrainResult>;
  /** The daemon's state, and who lags behind a revision or else behind the store's head. */
  status(comparedRevision: number | undefined): Promise<FleetStatus>;
  /** Refusals of one call or root, or the latest ones, at most `limit`. */
  explain(id: string | undefined, limit: number): Explanation;
  /** Events after a sequence number, at most `limit`. */
  readTimeline(afterSequence: number, limit: number): DaemonTimelinePage;
}
