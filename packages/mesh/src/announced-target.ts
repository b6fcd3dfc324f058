import type { EndedTarget, TargetAnnouncement } from './daemon-record';
import type { TargetIncarnation } from './target-notice';

export type AnnouncementResult =
  | {
      readonly kind: 'accepted';
      readonly isChange: boolean;
      /** True if the announcement is the first of this incarnation. */
      readonly isNewIncarnation: boolean;
    }
  | { readonly kind: 'stale'; readonly reason: string };

/** Number of ended incarnations that are recorded, so that their late announcements are ignored. */
const MAX_ENDED_INCARNATIONS = 64;
/**
 * Time for which an ended incarnation without a known start counts after it was learned from an
 * earlier process: longer than an announcement is late, as a new one under its id looks the same.
 */
const UNKNOWN_START_RETENTION_MS = 60_000;

/**
 * Announcements, and time between the first and the last of them, after which an incarnation that
 * claims an earlier start has replaced a silent one: the time of day was set back in between.
 */
const MIN_CLAIM_ANNOUNCEMENTS = 3;
const MIN_CLAIM_MS = 2_000;

/** An incarnation that announces itself although the present one claims a later start. */
interface EarlierClaim {
  readonly announcement: TargetAnnouncement;
  readonly sinceMs: number;
  readonly count: number;
}

interface EndedIncarnation extends EndedTarget {
  readonly untilMs: number;
}

/** Compares start times only if both are known; otherwise the target id alone decides. */
function isSameIncarnation(left: TargetIncarnation, right: TargetIncarnation): boolean {
  if (left.targetId !== right.targetId) return false;
  if (left.bornUnixMs === undefined || right.bornUnixMs === undefined) return true;
  return left.bornUnixMs === right.bornUnixMs;
}

function startedBefore(left: TargetIncarnation, right: TargetIncarnation): boolean {
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

  private hasStatedLeaving = false;

  /** True while the target is unreachable, until its next announcement or response. */
  private isUnreachable = false;

  private earlierClaim: EarlierClaim | undefined;

  private readonly endedIncarnations: EndedIncarnation[] = [];

  private recordedCount = 0;

  /** Without `isConfirmed`, the target serves once `confirm` was called. */
  constructor(private isConfirmed = true) {}

  get announcement(): TargetAnnouncement | undefined {
    return this.present;
  }

  /** True while new requests may be sent to the target. */
  get isServing(): boolean {
    return (
      this.isConfirmed &&
      this.present !== undefined &&
      !this.present.isDraining &&
      !this.isDeregistered &&
      !this.hasStatedLeaving &&
      !this.isUnreachable
    );
  }

  /** True once the present incarnation has left for good, or stated in an answer that it leaves. */
  get isLeaving(): boolean {
    // Without a known start, the departure would also count for a later incarnation of this id.
    const hasLeft = this.isDeregistered && this.present?.bornUnixMs !== undefined;
    return hasLeft || this.hasStatedLeaving;
  }

  /** Changes whenever an incarnation other than the present one is known to have ended. */
  get otherEndedCount(): number {
    return this.recordedCount;
  }

  /** The incarnations that no longer serve, for later processes of this daemon. */
  endedTargets(nowMs: number): EndedTarget[] {
    const ended: EndedTarget[] = this.endedIncarnations
      .filter(({ untilMs }) => nowMs < untilMs)
      .map(({ untilMs: _untilMs, ...target }) => target);
    if (this.present !== undefined && this.isEndExpected) {
      const { targetId, bornUnixMs, sequence } = this.present;
      const isFinal = this.isDeregistered || this.hasStatedLeaving;
      ended.push({ targetId, bornUnixMs, drainingSequence: isFinal ? undefined : sequence });
    }
    return ended;
  }

  /**
   * Lets the target serve, as what earlier processes knew of it was learned or cannot be. Returns
   * true if it serves now.
   */
  confirm(): boolean {
    if (this.isConfirmed) return false;
    this.isConfirmed = true;
    return this.isServing;
  }

  /**
   * Records the incarnations that ended while an earlier process of this daemon ran. Returns true if
   * the present one is among them and was serving.
   */
  restoreEnded(targets: readonly EndedTarget[], nowMs: number): boolean {
    const wasServing = this.isServing;
    for (const target of targets) {
      const hasUnknownStart = target.bornUnixMs === undefined;
      this.recordEndedIncarnation(
        target,
        hasUnknownStart ? nowMs + UNKNOWN_START_RETENTION_MS : Number.POSITIVE_INFINITY,
      );
      this.endPresent(target);
    }
    return wasServing && !this.isServing;
  }

  /** True once the present incarnation has announced that it drains or leaves. */
  get isEndExpected(): boolean {
    return this.present?.isDraining === true || this.isDeregistered || this.hasStatedLeaving;
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
    const staleReason = this.findStaleReason(announcement, nowMs);
    if (staleReason !== undefined) return { kind: 'stale', reason: staleReason };
    const { present } = this;
    const wasServing = this.isServing;
    const isNewIncarnation = present === undefined || !isSameIncarnation(present, announcement);
    if (isNewIncarnation) {
      if (present !== undefined) {
        const { targetId, bornUnixMs } = present;
        this.recordEndedIncarnation({ targetId, bornUnixMs }, Number.POSITIVE_INFINITY);
      }
      this.isDeregistered = false;
      this.hasStatedLeaving = false;
    }
    this.isUnreachable = false;
    this.earlierClaim = undefined;
    this.present = announcement;
    this.announcedAtMs = nowMs;
    const isChange =
      isNewIncarnation ||
      wasServing !== this.isServing ||
      present?.slots !== announcement.slots ||
      present.service !== announcement.service;
    return { kind: 'accepted', isChange, isNewIncarnation };
  }

  /**
   * Handles a target's deregistration. Returns true if it ended the serving of the current target.
   * Another target id is recorded as ended; another known start time of the current id is ignored.
   */
  deregister(targetId: string, bornUnixMs: number | undefined): boolean {
    const { present } = this;
    if (present === undefined || present.targetId !== targetId) {
      this.recordEndedIncarnation({ targetId, bornUnixMs }, Number.POSITIVE_INFINITY);
      return false;
    }
    if (bornUnixMs !== undefined && present.bornUnixMs !== undefined) {
      if (bornUnixMs !== present.bornUnixMs) return false;
    }
    const wasServing = this.isServing;
    this.isDeregistered = true;
    return wasServing;
  }

  /** True if the incarnation is the present one. */
  isPresent(incarnation: TargetIncarnation): boolean {
    return this.present !== undefined && isSameIncarnation(this.present, incarnation);
  }

  /** Ends the serving of the present incarnation, as it leaves. Returns true if it was serving. */
  markLeaving(): boolean {
    const wasServing = this.isServing;
    this.hasStatedLeaving = true;
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

  private findStaleReason(announcement: TargetAnnouncement, nowMs: number): string | undefined {
    if (this.endedIncarnations.some((ended) => this.endedBefore(ended, announcement, nowMs))) {
      return 'incarnation has ended';
    }
    const { present } = this;
    if (present === undefined) return undefined;
    if (startedBefore(announcement, present)) {
      return this.hasReplacedPresent(announcement, nowMs)
        ? undefined
        : 'started before the current incarnation';
    }
    if (!isSameIncarnation(present, announcement)) return undefined;
    if (announcement.sequence <= present.sequence) return 'sequence number is not greater';
    return undefined;
  }

  /**
   * Whether an incarnation with an earlier start time has replaced the present one. A few late
   * announcements do not show that; continued ones do, while the present incarnation is silent.
   */
  private hasReplacedPresent(announcement: TargetAnnouncement, nowMs: number): boolean {
    const claim = this.earlierClaim;
    if (claim === undefined || !isSameIncarnation(claim.announcement, announcement)) {
      this.earlierClaim = { announcement, sinceMs: nowMs, count: 1 };
      return false;
    }
    if (announcement.sequence <= claim.announcement.sequence) return false;
    const count = claim.count + 1;
    this.earlierClaim = { announcement, sinceMs: claim.sinceMs, count };
    return count >= MIN_CLAIM_ANNOUNCEMENTS && nowMs - claim.sinceMs >= MIN_CLAIM_MS;
  }

  /** True if the announcement was sent before the incarnation ended, or before it drained. */
  private endedBefore(
    ended: EndedIncarnation,
    announcement: TargetAnnouncement,
    nowMs: number,
  ): boolean {
    if (nowMs >= ended.untilMs || !isSameIncarnation(ended, announcement)) return false;
    return ended.drainingSequence === undefined || announcement.sequence <= ended.drainingSequence;
  }

  /** Ends the serving of the present incarnation if it is the one that ended or drained. */
  private endPresent(ended: EndedTarget): void {
    const { present } = this;
    if (present === undefined || !isSameIncarnation(present, ended)) return;
    const { drainingSequence } = ended;
    if (drainingSequence === undefined) this.isDeregistered = true;
    else if (present.sequence <= drainingSequence)
      this.present = { ...present, isDraining: true, sequence: drainingSequence };
  }

  private recordEndedIncarnation(ended: EndedTarget, untilMs: number): void {
    const { targetId, bornUnixMs, drainingSequence } = ended;
    const isKnown = this.endedIncarnations.some(
      (known) =>
        known.targetId === targetId &&
        known.bornUnixMs === bornUnixMs &&
        known.drainingSequence === drainingSequence,
    );
    if (isKnown) return;
    this.endedIncarnations.push({ targetId, bornUnixMs, drainingSequence, untilMs });
    this.recordedCount += 1;
    if (this.endedIncarnations.length > MAX_ENDED_INCARNATIONS) this.endedIncarnations.shift();
  }
}
