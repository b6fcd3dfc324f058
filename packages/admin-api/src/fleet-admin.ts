import type { MemberView, TargetStateName } from '@daisyferry/model/member';
import type { TimelineEvent } from '@daisyferry/model/timeline-event';

export const DrainOutcome = {
  /** The drain has started. */
  begun: 'begun',
  /** Nothing changed; `reason` gives the cause. */
  refused: 'refused',
  /** The daemon's reply was lost or unreadable; the drain may be repeated safely. */
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
  /** Calls that run on the target or wait for admission; 0 if the daemon did not report them. */
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
  /** Daemons that are behind `comparedRevision` or did not reply. */
  readonly lagging: readonly LaggingDaemon[];
  /** Number of times that the store had an older revision than the one applied. */
  readonly storeRegressions: number;
}

/** One call that ended without a response of the target: refused, or with an unknown outcome. */
export interface ExplainedRefusal {
  /** Always empty: the daemon does not record the identifier of the call. */
  readonly call: string;
  /** Identifier of the root request. */
  readonly root: string;
  readonly service: string;
  /** HTTP method and path of the call, separated by a space. */
  readonly method: string;
  readonly class: string;
  readonly reason: string;
  /** Fixed explanation of the reason; for a reason without one, the outcome of the call. */
  readonly detail: string;
  readonly wallMs: number;
}

/** Current value of one limit or counter, for example the concurrency limit or the queue length. */
export interface ExplainedLimit {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Explanation of the value. */
  readonly detail: string;
}

export interface Explanation {
  /** Oldest first for one root request, otherwise latest first. */
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
  /**
   * Reports this daemon's state and the daemons behind a revision: by default the store's head or,
   * while the store is unavailable, the revision that this daemon applies.
   */
  status(comparedRevision: number | undefined): Promise<FleetStatus>;
  /**
   * Returns the latest refusals, up to `limit`: those of the root request with the identifier, or
   * of all root requests if it is undefined; and the current limits.
   */
  explain(id: string | undefined, limit: number): Explanation;
  /** Returns up to `limit` events after a sequence number. */
  readTimeline(afterSequence: number, limit: number): DaemonTimelinePage;
}
