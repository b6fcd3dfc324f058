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

/** Announcements without which a claim does not refute anything; late ones come one or two at once. */
const MIN_CLAIM_ANNOUNCEMENTS = 3;
/**
 * Time between the first and the last announcement of a claim that refutes a conclusion of this
 * daemon: that the incarnation is not the present one.
 */
const MIN_CLAIM_MS = 2_000;
/**
 * The same for the end that the target itself has stated: longer than a target goes on after it, so
 * that only one that never meant to leave comes back.
 */
const MIN_CLAIM_AGAINST_STATEMENT_MS = 60_000;

/** An incarnation that goes on announcing itself although its announcements are ignored. */
interface Claim {
  readonly announcement: TargetAnnouncement;
  readonly sinceMs: number;
  readonly count: number;
}

/** Why an announcement is ignored, and for how long its target must repeat it to be believed. */
interface Objection {
  readonly reason: string;
  readonly minClaimMs: number;
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
 * targets with unknown or equal start times, the later announcement wins. What is believed of a
 * target can be wrong, as one message is enough for it; a target that goes on announcing itself
 * refutes it. The sidecar daemon uses it; the daemon of the package `daemon` uses `LocalTarget` of
 * the package `callpath`.
 */
export class AnnouncedTarget {
  private present: TargetAnnouncement | undefined;

  private announcedAtMs = Number.NEGATIVE_INFINITY;

  private isDeregistered = false;

  private hasStatedLeaving = false;

  /** True while the target is unreachable, until its next announcement or response. */
  private isUnreachable = false;

  private claim: Claim | undefined;

  private hasRefutedDeparture = false;

  private readonly endedIncarnations: EndedIncarnation[] = [];

  private recordedCount = 0;

  /** True once the announcements of a target alone may confirm it. */
  private mayConfirmItself = false;

  /** When this process heard the present incarnation first, and how often it has heard it. */
  private heardSinceMs = Number.POSITIVE_INFINITY;

  private heardCount = 0;

  /** Without `isConfirmed`, the target serves once `confirm` or `confirmOnceRepeated` allows it. */
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

  /** True once the present incarnation has gone on announcing itself long after its departure. */
  get hasReturned(): boolean {
    return this.hasRefutedDeparture && !this.isLeaving;
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
   * Lets the target serve once it has announced itself repeatedly, as nobody tells what earlier
   * processes knew of it: one that had left may still be heard late, once or twice. Returns true if
   * it serves now.
   */
  confirmOnceRepeated(): boolean {
    if (this.isConfirmed) return false;
    this.mayConfirmItself = true;
    this.isConfirmed = this.isRepeated;
    return this.isServing;
  }

  /**
   * Records the incarnations that ended while an earlier process of this daemon ran. Returns true if
   * the present one is among them and was serving.
   */
  restoreEnded(targets: readonly EndedTarget[], nowMs: number): boolean {
    const wasServing = this.isServing;
    for (const target of targets) {
      // What the target has told this process refutes what another one presumed.
      if (target.isPresumed === true && this.isPresent(target)) continue;
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
    const objection = this.findObjection(announcement, nowMs);
    if (objection !== undefined && !this.isRefuted(objection, announcement, nowMs)) {
      if (announcement.isDraining) this.recordDraining(announcement);
      return { kind: 'stale', reason: objection.reason };
    }
    const { present } = this;
    const wasServing = this.isServing;
    if (objection !== undefined) this.forgetEnd(announcement, nowMs);
    const isNewIncarnation = present === undefined || !isSameIncarnation(present, announcement);
    if (isNewIncarnation) {
      if (present !== undefined) {
        const { targetId, bornUnixMs } = present;
        const isPresumed = this.isEndExpected ? undefined : true;
        const replaced: EndedTarget = { targetId, bornUnixMs, isPresumed };
        this.recordEndedIncarnation(replaced, Number.POSITIVE_INFINITY);
      }
      this.isDeregistered = false;
      this.hasStatedLeaving = false;
      this.hasRefutedDeparture = false;
    }
    this.isUnreachable = false;
    this.claim = undefined;
    // A late statement that the target drains has a lower number than the one before it.
    const minSequence = isNewIncarnation || objection !== undefined ? 0 : present.sequence;
    this.present = { ...announcement, sequence: Math.max(minSequence, announcement.sequence) };
    this.announcedAtMs = nowMs;
    if (isNewIncarnation) {
      this.heardSinceMs = nowMs;
      this.heardCount = 0;
    }
    this.heardCount += 1;
    this.isConfirmed ||= this.mayConfirmItself && this.isRepeated;
    const isChange =
      isNewIncarnation ||
      wasServing !== this.isServing ||
      present?.slots !== announcement.slots ||
      present.service !== announcement.service;
    return { kind: 'accepted', isChange, isNewIncarnation };
  }

  /**
   * Handles a target's deregistration. Returns true if it ended the serving of the current target.
   * Another incarnation is recorded as ended.
   */
  deregister(targetId: string, bornUnixMs: number | undefined): boolean {
    if (!this.isPresent({ targetId, bornUnixMs })) {
      this.recordEndedIncarnation({ targetId, bornUnixMs }, Number.POSITIVE_INFINITY);
      return false;
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

  private get isRepeated(): boolean {
    const { heardCount, heardSinceMs, announcedAtMs } = this;
    return heardCount >= MIN_CLAIM_ANNOUNCEMENTS && announcedAtMs - heardSinceMs >= MIN_CLAIM_MS;
  }

  private findObjection(announcement: TargetAnnouncement, nowMs: number): Objection | undefined {
    const ends = this.endsOf(announcement, nowMs);
    if (ends.length > 0) {
      const isPresumed = ends.every((ended) => ended.isPresumed === true);
      return {
        reason: 'incarnation has ended',
        minClaimMs: isPresumed ? MIN_CLAIM_MS : MIN_CLAIM_AGAINST_STATEMENT_MS,
      };
    }
    const { present } = this;
    if (present === undefined) return undefined;
    if (startedBefore(announcement, present))
      return { reason: 'started before the current incarnation', minClaimMs: MIN_CLAIM_MS };
    if (!isSameIncarnation(present, announcement)) return undefined;
    if (this.isDeregistered)
      return { reason: 'incarnation has left', minClaimMs: MIN_CLAIM_AGAINST_STATEMENT_MS };
    if (announcement.sequence <= present.sequence) {
      if (announcement.isDraining && !present.isDraining) return undefined;
      return {
        reason: 'sequence number is not greater',
        minClaimMs: present.isDraining ? MIN_CLAIM_AGAINST_STATEMENT_MS : MIN_CLAIM_MS,
      };
    }
    return undefined;
  }

  /**
   * Whether the target has repeated for long enough what the objection is about. A few late
   * announcements do not refute it; continued ones do, while the present incarnation is silent.
   */
  private isRefuted(
    { minClaimMs }: Objection,
    announcement: TargetAnnouncement,
    nowMs: number,
  ): boolean {
    const { claim } = this;
    if (claim === undefined || !isSameIncarnation(claim.announcement, announcement)) {
      this.claim = { announcement, sinceMs: nowMs, count: 1 };
      return false;
    }
    if (announcement.sequence <= claim.announcement.sequence) return false;
    const count = claim.count + 1;
    this.claim = { announcement, sinceMs: claim.sinceMs, count };
    return count >= MIN_CLAIM_ANNOUNCEMENTS && nowMs - claim.sinceMs >= minClaimMs;
  }

  /** A target that drains does not serve again, so that this counts however late it arrives. */
  private recordDraining({ targetId, bornUnixMs, sequence }: TargetAnnouncement): void {
    if (this.isPresent({ targetId, bornUnixMs })) return;
    this.recordEndedIncarnation(
      { targetId, bornUnixMs, drainingSequence: sequence },
      Number.POSITIVE_INFINITY,
    );
  }

  /** Forgets that the incarnation has ended, as it has refuted that. */
  private forgetEnd(announcement: TargetAnnouncement, nowMs: number): void {
    for (const ended of this.endsOf(announcement, nowMs))
      this.endedIncarnations.splice(this.endedIncarnations.indexOf(ended), 1);
    if (!this.isPresent(announcement)) return;
    this.hasRefutedDeparture ||= this.isDeregistered;
    this.isDeregistered = false;
  }

  /** The recorded ends after which the announcement cannot have been sent. */
  private endsOf(announcement: TargetAnnouncement, nowMs: number): EndedIncarnation[] {
    return this.endedIncarnations.filter((ended) => this.endedBefore(ended, announcement, nowMs));
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
    const { targetId, bornUnixMs, drainingSequence, isPresumed } = ended;
    const isKnown = this.endedIncarnations.some(
      (known) =>
        known.targetId === targetId &&
        known.bornUnixMs === bornUnixMs &&
        known.drainingSequence === drainingSequence &&
        known.isPresumed === isPresumed,
    );
    if (isKnown) return;
    this.endedIncarnations.push({ targetId, bornUnixMs, drainingSequence, isPresumed, untilMs });
    this.recordedCount += 1;
    if (this.endedIncarnations.length <= MAX_ENDED_INCARNATIONS) return;
    // What a target has stated is kept for longer than what was concluded.
    const index = this.endedIncarnations.findIndex((known) => known.isPresumed === true);
    this.endedIncarnations.splice(Math.max(0, index), 1);
  }
}
