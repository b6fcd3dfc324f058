import type { SocketAddress } from './socket-address';
import type { TargetIncarnation } from './target-notice';

/** A target's announcement of its own state. */
export interface TargetAnnouncement {
  readonly targetId: string;
  readonly service: string;
  /** `ip:port` at which the target serves. */
  readonly address: string;
  /** Data centre of the target. */
  readonly zone: string;
  /** Maximum number of requests that the target processes at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining warm-up time, during which the target is slow. */
  readonly coldMs: number;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
  /** Unix time of the target's start; distinguishes incarnations with the same id. */
  readonly bornUnixMs: number | undefined;
}

/** Greatest incarnation and revision of a record; a Unix time in milliseconds is far below. */
export const MAX_RECORD_NUMBER = 2 ** 52;

/** A daemon's description of itself and its local target, for the other daemons. */
export interface DaemonRecord {
  readonly daemonId: string;
  /** Distinguishes restarts of a daemon; greater is later. */
  readonly incarnation: number;
  /** Counts changes within one incarnation. */
  readonly revision: number;
  /** Address at which the daemon accepts calls of other daemons. */
  readonly address: SocketAddress;
  /** Data centre of the daemon and its target. */
  readonly zone: string;
  /** True once the daemon is about to stop: no new calls are sent to it. */
  readonly isLeaving: boolean;
  readonly target: ServingTarget | undefined;
  /** Incarnations whose end the daemon has acknowledged or seen; undefined without any. */
  readonly endedTargets?: readonly EndedTarget[] | undefined;
}

/** An incarnation of a daemon's local target that no longer serves. */
export interface EndedTarget extends TargetIncarnation {
  /** Sequence number of the announcement that it drains; undefined once it has ended for good. */
  readonly drainingSequence?: number | undefined;
  /**
   * True if its end was concluded from the announcement of another incarnation, which may have
   * been wrong; the target itself has stated nothing of it.
   */
  readonly isPresumed?: boolean | undefined;
}

export interface ServingTarget {
  readonly targetId: string;
  readonly service: string;
  /** Unix time of the target's start; undefined if it is not known. */
  readonly bornUnixMs?: number | undefined;
  readonly slots: number;
  readonly isServing: boolean;
  /** True once the target has left or stated that it leaves; false if it has refuted that since. */
  readonly isLeaving?: boolean | undefined;
  /** Time from the writing of the record until the target is warm. */
  readonly coldMs: number;
}

export function isNewerRecord(candidate: DaemonRecord, present: DaemonRecord | undefined): boolean {
  if (present === undefined) return true;
  if (candidate.incarnation !== present.incarnation) {
    return candidate.incarnation > present.incarnation;
  }
  return candidate.revision > present.revision;
}
