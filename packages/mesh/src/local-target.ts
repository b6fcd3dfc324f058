import type { TargetAnnouncement } from './daemon-record';

export type AnnouncementVerdict =
  | { readonly kind: 'accepted'; readonly isChange: boolean }
  | { readonly kind: 'stale'; readonly reason: string };

/** Number of ended incarnations that are remembered, so that their late announcements are known. */
const MAX_ENDED = 64;

interface EndedIncarnation {
  readonly targetId: string;
  readonly bornUnixMs: number | undefined;
}

/** Without a time of birth on both sides the id alone tells incarnations apart. */
function sameIncarnation(left: EndedIncarnation, right: EndedIncarnation): boolean {
  if (left.targetId !== right.targetId) return false;
  if (left.bornUnixMs === undefined || right.bornUnixMs === undefined) return true;
  return left.bornUnixMs === right.bornUnixMs;
}

function isBornBefore(left: EndedIncarnation, right: EndedIncarnation): boolean {
  if (left.bornUnixMs === undefined || right.bornUnixMs === undefined) return false;
  return left.bornUnixMs < right.bornUnixMs;
}

/**
 * What the daemon knows of the target beside it, from the target's own announcements. Announcements
 * of one incarnation are ordered by their sequence, incarnations by their time of birth.
 */
export class LocalTarget {
  private present: TargetAnnouncement | undefined;

  private heardAtMs = Number.NEGATIVE_INFINITY;

  private hasLeft = false;

  /** Set while the target refuses connections, until it is heard of or reached again. */
  private isUnreachable = false;

  private readonly ended: EndedIncarnation[] = [];

  get announcement(): TargetAnnouncement | undefined {
    return this.present;
  }

  /** True while new work may be handed to the target. */
  get isServing(): boolean {
    return (
      this.present !== undefined && !this.present.isDraining && !this.hasLeft && !this.isUnreachable
    );
  }

  /** Remaining time for which the target is slow after its start. */
  coldMs(nowMs: number): number {
    if (this.present === undefined) return 0;
    return Math.max(0, this.present.coldMs - (nowMs - this.heardAtMs));
  }

  announce(announcement: TargetAnnouncement, nowMs: number): AnnouncementVerdict {
    const stale = this.staleness(announcement);
    if (stale !== undefined) return { kind: 'stale', reason: stale };
    const { present } = this;
    const wasServing = this.isServing;
    const isNewIncarnation = present === undefined || !sameIncarnation(present, announcement);
    if (isNewIncarnation) {
      if (present !== undefined) this.remember(present);
      this.hasLeft = false;
    }
    this.isUnreachable = false;
    this.present = announcement;
    this.heardAtMs = nowMs;
    const isChange =
      isNewIncarnation ||
      wasServing !== this.isServing ||
      present?.slots !== announcement.slots ||
      present.service !== announcement.service;
    return { kind: 'accepted', isChange };
  }

  /** The target says that it goes for good. Returns true if that changes anything. */
  leave(targetId: string, bornUnixMs: number | undefined): boolean {
    const { present } = this;
    if (present === undefined || present.targetId !== targetId) {
      this.remember({ targetId, bornUnixMs });
      return false;
    }
    if (bornUnixMs !== undefined && present.bornUnixMs !== undefined) {
      if (bornUnixMs !== present.bornUnixMs) return false;
    }
    const wasServing = this.isServing;
    this.hasLeft = true;
    return wasServing;
  }

  /** The target refuses connections. Returns true if that changes anything. */
  noteUnreachable(): boolean {
    const wasServing = this.isServing;
    this.isUnreachable = true;
    return wasServing;
  }

  /** The target took a connection. Returns true if that changes anything. */
  noteReachable(): boolean {
    if (!this.isUnreachable) return false;
    this.isUnreachable = false;
    return this.isServing;
  }

  private staleness(announcement: TargetAnnouncement): string | undefined {
    if (this.ended.some((ended) => sameIncarnation(ended, announcement))) {
      return 'incarnation has ended';
    }
    const { present } = this;
    if (present === undefined) return undefined;
    if (isBornBefore(announcement, present)) return 'born before the present incarnation';
    if (!sameIncarnation(present, announcement)) return undefined;
    if (announcement.sequence <= present.sequence) return 'sequence is not newer';
    return undefined;
  }

  private remember(ended: EndedIncarnation): void {
    this.ended.push({ targetId: ended.targetId, bornUnixMs: ended.bornUnixMs });
    if (this.ended.length > MAX_ENDED) this.ended.shift();
  }
}
