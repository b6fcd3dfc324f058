import type { TargetAnnouncement } from './daemon-record';

export type AnnouncementResult =
  | { readonly kind: 'accepted'; readonly isChange: boolean }
  | { readonly kind: 'stale'; readonly reason: string };

/** Number of ended incarnations that are recorded, so that their late announcements are ignored. */
const MAX_ENDED_INCARNATIONS = 64;

interface EndedIncarnation {
  readonly targetId: string;
  readonly bornUnixMs: number | undefined;
}

/** Compares start times only if both are known; otherwise the target id alone decides. */
function isSameIncarnation(left: EndedIncarnation, right: EndedIncarnation): boolean {
  if (left.targetId !== right.targetId) return false;
  if (left.bornUnixMs === undefined || right.bornUnixMs === undefined) return true;
  return left.bornUnixMs === right.bornUnixMs;
}

function startedBefore(left: EndedIncarnation, right: EndedIncarnation): boolean {
  if (left.bornUnixMs === undefined || right.bornUnixMs === undefined) return false;
  return left.bornUnixMs < right.bornUnixMs;
}

/**
 * State of the local target, from the target's own announcements. Announcements of one incarnation
 * are ordered by their sequence number, incarnations by their start time; between different
 * targets with unknown or equal start times, the later announcement wins. The sidecar daemon uses
 * it; the daemon of the package `daemon` uses `LocalTarget` of the package `callpath`.
 */
export class AnnouncedTarget {
  private present: TargetAnnouncement | undefined;

  private announcedAtMs = Number.NEGATIVE_INFINITY;

  private isDeregistered = false;

  /** True while the target is unreachable, until its next announcement or response. */
  private isUnreachable = false;

  private readonly endedIncarnations: EndedIncarnation[] = [];

  get announcement(): TargetAnnouncement | undefined {
    return this.present;
  }

  /** True while new requests may be sent to the target. */
  get isServing(): boolean {
    return (
      this.present !== undefined &&
      !this.present.isDraining &&
      !this.isDeregistered &&
      !this.isUnreachable
    );
  }

  /** Remaining warm-up time of the target. */
  coldMs(nowMs: number): number {
    if (this.present === undefined) return 0;
    return Math.max(0, this.present.coldMs - (nowMs - this.announcedAtMs));
  }

  /**
   * Applies an announcement unless it is stale. It is a change if the incarnation, the service, the
   * slots, or whether the target is serving differs from before.
   */
  applyAnnouncement(announcement: TargetAnnouncement, nowMs: number): AnnouncementResult {
    const staleReason = this.findStaleReason(announcement);
    if (staleReason !== undefined) return { kind: 'stale', reason: staleReason };
    const { present } = this;
    const wasServing = this.isServing;
    const isNewIncarnation = present === undefined || !isSameIncarnation(present, announcement);
    if (isNewIncarnation) {
      if (present !== undefined) this.recordEndedIncarnation(present);
      this.isDeregistered = false;
    }
    this.isUnreachable = false;
    this.present = announcement;
    this.announcedAtMs = nowMs;
    const isChange =
      isNewIncarnation ||
      wasServing !== this.isServing ||
      present?.slots !== announcement.slots ||
      present.service !== announcement.service;
    return { kind: 'accepted', isChange };
  }

  /**
   * Handles a target's deregistration. Returns true if it ended the serving of the current target.
   * Another target id is recorded as ended; another known start time of the current id is ignored.
   */
  deregister(targetId: string, bornUnixMs: number | undefined): boolean {
    const { present } = this;
    if (present === undefined || present.targetId !== targetId) {
      this.recordEndedIncarnation({ targetId, bornUnixMs });
      return false;
    }
    if (bornUnixMs !== undefined && present.bornUnixMs !== undefined) {
      if (bornUnixMs !== present.bornUnixMs) return false;
    }
    const wasServing = this.isServing;
    this.isDeregistered = true;
    return wasServing;
  }

  /** Marks the target as unreachable. Returns true if it was serving. */
  markUnreachable(): boolean {
    const wasServing = this.isServing;
    this.isUnreachable = true;
    return wasServing;
  }

  /** Marks the target as reachable. Returns true if it serves again. */
  markReachable(): boolean {
    if (!this.isUnreachable) return false;
    this.isUnreachable = false;
    return this.isServing;
  }

  private findStaleReason(announcement: TargetAnnouncement): string | undefined {
    if (this.endedIncarnations.some((ended) => isSameIncarnation(ended, announcement))) {
      return 'incarnation has ended';
    }
    const { present } = this;
    if (present === undefined) return undefined;
    if (startedBefore(announcement, present)) return 'started before the current incarnation';
    if (!isSameIncarnation(present, announcement)) return undefined;
    if (announcement.sequence <= present.sequence) return 'sequence number is not greater';
    return undefined;
  }

  private recordEndedIncarnation(ended: EndedIncarnation): void {
    this.endedIncarnations.push({ targetId: ended.targetId, bornUnixMs: ended.bornUnixMs });
    if (this.endedIncarnations.length > MAX_ENDED_INCARNATIONS) this.endedIncarnations.shift();
  }
}
