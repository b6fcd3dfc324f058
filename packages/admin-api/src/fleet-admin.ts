import type { MemberView, TargetStateName } from '@daisyferry/model/member';
import type { TimelineEvent } from '@daisyferry/model/timeline-event';

export const DrainOutcome = {
  /** The drain has started. */
  begun: 'begun',
  /** Nothing changed; `reason` gives the cause. */
  refused: 'refused',
  /** The daemon's reply was lost; the drain may be repeated safely. */
  unknown: 'unknown',
} as const;

export type DrainOutcomeName = (typeof DrainOutcome)[keyof typeof DrainOutcome];

export interface DrainResult {
  readonly outcome: DrainOutcomeName;
  /** Empty if the drain has started. */
  readonly reason: string;
  readonly daemon: string;
  /** State of the target after the request; absent if it is not known. */
  readonly targetState?: TargetStateName | 'left';
  /** Calls passed to the target that have not completed. */
  readonly inFlight: number;
}

export interface LaggingDaemon {
  readonly daemon: string;
  readonly service: string;
  /** Absent if the daemon did not reply. */
  readonly appliedRevision?: number;
}

export interface FleetStatus {
  readonly daemon: string;
  readonly incarnation: string;
  readonly service: string;
  readonly appliedRevision: number;
  /** Absent while the store is unavailable. */
  readonly headRevision?: number;
  readonly ready: boolean;
  readonly targetState: TargetStateName | 'left';
  readonly members: number;
  /** Revision against which `lagging` was determined. */
  readonly comparedRevision: number;
  readonly lagging: readonly LaggingDaemon[];
  /** Number of times that the store had an older revision than the one applied. */
  readonly storeRegressions: number;
}

/** One refused call that the daemon recorded. */
export interface ExplainedRefusal {
  readonly call: string;
  readonly root: string;
  readonly service: string;
  /** Name of the method's rule; empty if no rule matched. */
  readonly method: string;
  readonly class: string;
  readonly reason: string;
  /** Description of the values that the decision compared. */
  readonly detail: string;
  readonly wallMs: number;
}

/** Current value of one limit of the daemon. */
export interface ExplainedLimit {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly detail: string;
}

export interface Explanation {
  /** Latest first. */
  readonly refusals: readonly ExplainedRefusal[];
  readonly limits: readonly ExplainedLimit[];
}

export interface DaemonTimelinePage {
  readonly events: readonly TimelineEvent[];
  readonly daemon: string;
  readonly incarnation: string;
  /** Events that were overwritten before they were read. */
  readonly lost: number;
}

/** Operations of the administration API on daemons and targets. */
export interface FleetAdmin {
  /** Lists the members of one service, or of all services. */
  members(service: string | undefined): readonly MemberView[];
  /** Drains the target of the named daemon; defaults to the target of this daemon. */
  drain(daemon: string | undefined, force: boolean): Promise<DrainResult>;
  /** Reports this daemon's state and the daemons behind a revision, by default the store's head. */
  status(comparedRevision: number | undefined): Promise<FleetStatus>;
  /** Returns up to `limit` refusals of one call or root request, or the latest ones. */
  explain(id: string | undefined, limit: number): Explanation;
  /** Returns up to `limit` events after a sequence number. */
  readTimeline(afterSequence: number, limit: number): DaemonTimelinePage;
}
