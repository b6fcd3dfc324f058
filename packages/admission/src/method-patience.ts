const BUCKETS_PER_OCTAVE = 4;
/** Buckets over 1 ms to about 65 s. */
const BUCKET_COUNT = 16 * BUCKETS_PER_OCTAVE;
/** Time after which the weight of all earlier observations is halved. */
const HALVING_MS = 30_000;
/** Observations between two computations of the survival table. */
const REFRESH_OBSERVATIONS = 32;

/** Bucket of a duration; logarithmic, so that short waits are told apart as well as long ones. */
function bucketOf(durationMs: number): number {
  if (durationMs <= 1) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log2(durationMs) * BUCKETS_PER_OCTAVE));
}

/** How long callers of one method wait: a Kaplan-Meier estimate over decayed counts. */
export class MethodPatience {
  private readonly gone = new Float64Array(BUCKET_COUNT);

  private readonly answered = new Float64Array(BUCKET_COUNT);

  private readonly survival = new Float64Array(BUCKET_COUNT).fill(1);

  private unseen = 0;

  constructor(private halvedAtMs: number) {}

  note(durationMs: number, isGone: boolean, nowMs: number): void {
    const counts = isGone ? this.gone : this.answered;
    const bucket = bucketOf(durationMs);
    counts[bucket] = (counts[bucket] ?? 0) + 1;
    this.unseen++;
    if (nowMs - this.halvedAtMs < HALVING_MS) return;
    this.halvedAtMs = nowMs;
    this.halve();
  }

  /** Likelihood that a caller who has waited stays for the further time. */
  presentLikelihood(waitedMs: number, moreMs: number): number {
    if (this.unseen >= REFRESH_OBSERVATIONS) this.refresh();
    const now = this.survival[bucketOf(waitedMs)] ?? 1;
    if (now <= 0) return 0;
    const later = this.survival[bucketOf(waitedMs + moreMs)] ?? 1;
    return Math.min(1, later / now);
  }

  private halve(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.gone[bucket] = (this.gone[bucket] ?? 0) / 2;
      this.answered[bucket] = (this.answered[bucket] ?? 0) / 2;
    }
  }

  private refresh(): void {
    this.unseen = 0;
    let atRisk = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      atRisk += (this.gone[bucket] ?? 0) + (this.answered[bucket] ?? 0);
    }
    let surviving = 1;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.survival[bucket] = surviving;
      const gone = this.gone[bucket] ?? 0;
      if (atRisk > 0) surviving *= 1 - gone / atRisk;
      atRisk -= gone + (this.answered[bucket] ?? 0);
    }
  }
}
