/** What a target says of itself. */
export interface TargetAnnouncement {
  readonly targetId: string;
  readonly service: string;
  /** `ip:port` at which the target serves. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the target works on at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the target stays slow after its start. */
  readonly coldMs: number;
  /** Grows with each announcement of one incarnation. */
  readonly sequence: number;
  /** Unix time of the target's start; tells incarnations with one id apart. */
  readonly bornUnixMs: number | undefined;
}

/** What a daemon tells the others about itself and the target beside it. */
export interface DaemonRecord {
  readonly daemonId: string;
  /** Tells the lives of a daemon apart; greater is later. */
  readonly incarnation: number;
  /** Counts changes within one incarnation. */
  readonly revision: number;
  /** `ip:port` at which the daemon takes calls of other daemons. */
  readonly address: string;
  readonly zone: string;
  /** True once the daemon is about to stop: no new calls are sent to it. */
  readonly isLeaving: boolean;
  readonly target: ServingTarget | undefined;
}

export interface ServingTarget {
  readonly targetId: string;
  readonly service: string;
  readonly slots: number;
  readonly isServing: boolean;
  /** Time of the record's writing until the target is warm, in ms. */
  readonly coldMs: number;
}

/** True when `candidate` is newer than `present`. */
export function isNewerRecord(candidate: DaemonRecord, present: DaemonRecord | undefined): boolean {
  if (present === undefined) return true;
  if (candidate.incarnation !== present.incarnation) {
    return candidate.incarnation > present.incarnation;
  }
  return candidate.revision > present.revision;
}
