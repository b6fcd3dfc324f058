/** How often a request has crashed its targets without ever ending otherwise in between. */
export interface CrashEvidence {
  /** Number of times that the request was cleared, as a target has answered it. */
  readonly clearances: number;
  /** Crashes since then, each of a target that began to run the request after the one before. */
  readonly crashes: number;
}

/** What daemons tell each other about one request. */
export interface CrashReport extends CrashEvidence {
  /** Digest of what makes a request the same as an earlier one. */
  readonly fingerprint: string;
  /** Time since the last crash, when the report was sent. */
  readonly ageMs: number;
}

/** How a request may be run; `blockedForMs` is the time until it is tried again. */
export type SuspectDecision =
  | { readonly kind: 'free' }
  /** Not beside another suspect at the same target, so that a crash tells which one caused it. */
  | { readonly kind: 'apart' }
  | { readonly kind: 'blocked'; readonly blockedForMs: number }
  /** At one target of the fleet, once, to learn whether it still crashes. */
  | { readonly kind: 'trial' };

/** A request that a target was running when it crashed. */
export interface LostRun {
  readonly fingerprint: string;
  /** What was known of the request when the run began. */
  readonly evidenceAtStart: CrashEvidence;
}

interface Suspect {
  evidence: CrashEvidence;
  lastCrashAtMs: number;
  trialAtMs: number;
}

export const NO_EVIDENCE: CrashEvidence = { clearances: 0, crashes: 0 };
/** Crashes from which a request is run apart from other suspects. */
const CRASHES_UNTIL_APART = 2;
/** Crashes from which a request is blocked. */
const CRASHES_UNTIL_BLOCKED = 3;
/** Time after the last crash at which a blocked request is tried again, by the number of trials. */
const TRIAL_DELAYS_MS = [5_000, 60_000, 600_000, 6_000_000, 86_400_000];
/** Time after which a trial that neither crashed nor ended is taken for lost. */
const TRIAL_TIMEOUT_MS = 60_000;
const SUSPECT_RETENTION_MS = 600_000;
const BLOCKED_RETENTION_MS = 172_800_000;
const MAX_SUSPECTS = 1_024;
/** Maximum number of suspects in one report to a peer. */
const MAX_REPORTED = 256;

function isNewer(candidate: CrashEvidence, present: CrashEvidence): boolean {
  if (candidate.clearances !== present.clearances) {
    return candidate.clearances > present.clearances;
  }
  return candidate.crashes > present.crashes;
}

function isBlocked({ crashes }: CrashEvidence): boolean {
  return crashes >= CRASHES_UNTIL_BLOCKED;
}

function trialDelayMs({ crashes }: CrashEvidence): number {
  const index = Math.min(crashes - CRASHES_UNTIL_BLOCKED, TRIAL_DELAYS_MS.length - 1);
  return TRIAL_DELAYS_MS[index] ?? 0;
}

/**
 * Requests that were at targets when these crashed, and what follows for them. Whatever ran at a
 * crash is suspected; a response clears it everywhere. Crashes count only where the later run began
 * with the knowledge of the earlier crash, so that targets which end together raise the count once.
 * The same reports, in any order, lead to the same evidence at all daemons.
 */
export class CrashSuspects {
  /** In the order of their last change. */
  private readonly suspects = new Map<string, Suspect>();

  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  get size(): number {
    return this.suspects.size;
  }

  /** Number of requests that are blocked. */
  get blockedCount(): number {
    return [...this.suspects.values()].filter(({ evidence }) => isBlocked(evidence)).length;
  }

  /** Applies what another daemon knows of one request; returns what was news. */
  learn(fingerprint: string, evidence: CrashEvidence | undefined, nowMs: number): CrashReport[] {
    return evidence === undefined
      ? []
      : this.merge([{ ...evidence, fingerprint, ageMs: 0 }], nowMs);
  }

  evidenceOf(fingerprint: string): CrashEvidence {
    return this.suspects.get(fingerprint)?.evidence ?? NO_EVIDENCE;
  }

  /**
   * Records the crash of a target that was running these requests, and returns what is news. A request
   * that was suspected before is blocked if it was the only such one.
   */
  recordCrash(lostRuns: readonly LostRun[], nowMs: number): CrashReport[] {
    const suspectedBefore = lostRuns.filter(({ evidenceAtStart }) => evidenceAtStart.crashes > 0);
    const reports = lostRuns.map((lostRun) => {
      const { fingerprint, evidenceAtStart } = lostRun;
      const isOnlySuspect = suspectedBefore.length === 1 && suspectedBefore[0] === lostRun;
      const minCrashes = isOnlySuspect ? CRASHES_UNTIL_BLOCKED : 0;
      const crashes = Math.max(evidenceAtStart.crashes + 1, minCrashes);
      return { ...evidenceAtStart, fingerprint, crashes, ageMs: 0 };
    });
    return this.merge(reports, nowMs);
  }

  /** Clears a request, as a target has answered it. */
  recordAnswer(fingerprint: string, nowMs: number): CrashReport[] {
    const { clearances, crashes } = this.evidenceOf(fingerprint);
    if (crashes === 0) return [];
    return this.merge([{ fingerprint, clearances: clearances + 1, crashes: 0, ageMs: 0 }], nowMs);
  }

  /** Applies the reports of a peer and returns those that were news. */
  merge(reports: readonly CrashReport[], nowMs: number): CrashReport[] {
    const news = reports.filter(({ fingerprint, clearances, crashes, ageMs }) => {
      const evidence = { clearances, crashes };
      const present = this.suspects.get(fingerprint);
      if (!isNewer(evidence, present?.evidence ?? NO_EVIDENCE)) return false;
      this.suspects.delete(fingerprint);
      this.suspects.set(fingerprint, {
        evidence,
        lastCrashAtMs: nowMs - ageMs,
        trialAtMs: Number.NEGATIVE_INFINITY,
      });
      return true;
    });
    this.evict();
    return news;
  }

  decide(fingerprint: string, nowMs: number): SuspectDecision {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.evidence.crashes < CRASHES_UNTIL_APART) {
      return { kind: 'free' };
    }
    if (!isBlocked(suspect.evidence)) return { kind: 'apart' };
    const dueMs = Math.max(
      suspect.lastCrashAtMs + trialDelayMs(suspect.evidence),
      suspect.trialAtMs + TRIAL_TIMEOUT_MS,
    );
    return nowMs >= dueMs ? { kind: 'trial' } : { kind: 'blocked', blockedForMs: dueMs - nowMs };
  }

  /** Notes that a blocked request is being tried. */
  beginTrial(fingerprint: string, nowMs: number): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect !== undefined) suspect.trialAtMs = nowMs;
  }

  /** True if the request has crashed so many targets that it is not sent to another by itself. */
  isRetryBarred(fingerprint: string): boolean {
    return this.evidenceOf(fingerprint).crashes >= CRASHES_UNTIL_APART;
  }

  /** What is known of the gravest and latest suspects, for a peer that has connected. */
  reports(nowMs: number): CrashReport[] {
    return [...this.suspects]
      .reverse()
      .sort(([, left], [, right]) => right.evidence.crashes - left.evidence.crashes)
      .slice(0, MAX_REPORTED)
      .map(([fingerprint, { evidence, lastCrashAtMs }]) => ({
        ...evidence,
        fingerprint,
        ageMs: nowMs - lastCrashAtMs,
      }));
  }

  /** Forgets suspects whose last crash is long ago. Called periodically. */
  removeExpired(nowMs: number): void {
    for (const [fingerprint, { evidence, lastCrashAtMs }] of this.suspects) {
      const retentionMs = isBlocked(evidence) ? BLOCKED_RETENTION_MS : SUSPECT_RETENTION_MS;
      if (nowMs - lastCrashAtMs >= retentionMs) this.suspects.delete(fingerprint);
    }
  }

  /** Drops the oldest suspects beyond the capacity, those that are blocked last. */
  private evict(): void {
    const excess = this.suspects.size - MAX_SUSPECTS;
    if (excess <= 0) return;
    const fingerprints = [...this.suspects.keys()];
    const harmless = fingerprints.filter((each) => !isBlocked(this.evidenceOf(each)));
    const blocked = fingerprints.filter((each) => isBlocked(this.evidenceOf(each)));
    for (const each of [...harmless, ...blocked].slice(0, excess)) this.suspects.delete(each);
  }
}
