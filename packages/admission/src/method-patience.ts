const BUCKETS_PER_OCTAVE = 4;
/** Number of buckets, which cover 1 ms to about 65 s. */
const BUCKET_COUNT = 16 * BUCKETS_PER_OCTAVE;
/** Time after which the weight of all earlier observations is halved. */
const HALF_LIFE_MS = 30_000;
/** Observations after which the survival table is computed again. */
const REFRESH_OBSERVATIONS = 32;

/** Logarithmic bucket of a duration, so that short waits are resolved as well as long ones. */
function bucketOf(durationMs: number): number {
  if (durationMs <= 1) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log2(durationMs) * BUCKETS_PER_OCTAVE));
}

/** Waiting time of the callers of one method: a Kaplan-Meier estimate over decayed counts. */
export class MethodPatience {
  private readonly abandoned = new Float64Array(BUCKET_COUNT);

  private readonly censored = new Float64Array(BUCKET_COUNT);

  private readonly survival = new Float64Array(BUCKET_COUNT).fill(1);

  private pendingObservations = 0;

  constructor(private halvedAtMs: number) {}

  observe(durationMs: number, isAbandoned: boolean, nowMs: number): void {
    const counts = isAbandoned ? this.abandoned : this.censored;
    const bucket = bucketOf(durationMs);
    counts[bucket] = (counts[bucket] ?? 0) + 1;
    this.pendingObservations++;
    if (nowMs - this.halvedAtMs < HALF_LIFE_MS) return;
    this.halvedAtMs = nowMs;
    this.halveCounts();
  }

  /** Probability that a caller that has waited `waitedMs` waits `furtherMs` more. */
  stayProbability(waitedMs: number, furtherMs: number): number {
    if (this.pendingObservations >= REFRESH_OBSERVATIONS) this.refreshSurvival();
    const survivalNow = this.survival[bucketOf(waitedMs)] ?? 1;
    if (survivalNow <= 0) return 0;
    const survivalLater = this.survival[bucketOf(waitedMs + furtherMs)] ?? 1;
    return Math.min(1, survivalLater / survivalNow);
  }

  private halveCounts(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.abandoned[bucket] = (this.abandoned[bucket] ?? 0) / 2;
      this.censored[bucket] = (this.censored[bucket] ?? 0) / 2;
    }
  }

  private refreshSurvival(): void {
    this.pendingObservations = 0;
    let atRisk = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      atRisk += (this.abandoned[bucket] ?? 0) + (this.censored[bucket] ?? 0);
    }
    let surviving = 1;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.survival[bucket] = surviving;
      const abandoned = this.abandoned[bucket] ?? 0;
      if (atRisk > 0) surviving *= 1 - abandoned / atRisk;
      atRisk -= abandoned + (this.censored[bucket] ?? 0);
    }
  }
}
