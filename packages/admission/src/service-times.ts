/** Quantile of the service time below which a call cannot count on finishing. */
const LOW_QUANTILE = 0.1;
/** Relative step of the streaming quantile. */
const QUANTILE_STEP = 0.1;
/** Answers of a method before its estimate is used. */
const MIN_SAMPLES = 16;
/** Number of answers over which the mean is taken. */
const MEAN_SAMPLES = 64;
const MIN_SERVICE_MS = 0.01;

interface MethodTimes {
  lowQuantileMs: number;
  meanMs: number;
  samples: number;
}

/** Streaming estimates of service times: a low quantile by method and the mean over all methods. */
export class ServiceTimes {
  private readonly byMethod = new Map<string, MethodTimes>();

  private meanServiceMs = 0;

  private meanSamples = 0;

  /** Notes how long a call held its slot. */
  noteOccupancy(heldMs: number): void {
    const sampleMs = Math.max(MIN_SERVICE_MS, heldMs);
    this.meanSamples = Math.min(MEAN_SAMPLES, this.meanSamples + 1);
    this.meanServiceMs += (sampleMs - this.meanServiceMs) / this.meanSamples;
  }

  /** Notes the service time of a completed call. */
  noteCompleted(method: string, serviceMs: number): void {
    const sampleMs = Math.max(MIN_SERVICE_MS, serviceMs);
    const times = this.byMethod.get(method);
    if (times === undefined) {
      this.byMethod.set(method, { lowQuantileMs: sampleMs, meanMs: sampleMs, samples: 1 });
      return;
    }
    times.samples++;
    times.meanMs += (sampleMs - times.meanMs) / Math.min(MEAN_SAMPLES, times.samples);
    const isBelow = sampleMs < times.lowQuantileMs;
    times.lowQuantileMs *= Math.exp(QUANTILE_STEP * (LOW_QUANTILE - (isBelow ? 1 : 0)));
  }

  /** Service time in ms that nine in ten calls of the method exceed, once enough are known. */
  expectedMs(method: string): number | undefined {
    const times = this.byMethod.get(method);
    if (times === undefined || times.samples < MIN_SAMPLES) return undefined;
    return times.lowQuantileMs;
  }

  /**
   * Likelihood in [0, 1] that a call of the method finishes within a time: a straight line from the
   * low quantile through the mean, which is 1 as long as too few answers are known.
   */
  finishLikelihood(method: string, withinMs: number): number {
    const times = this.byMethod.get(method);
    if (times === undefined || times.samples < MIN_SAMPLES) return 1;
    const spanMs = Math.max(MIN_SERVICE_MS, 2 * (times.meanMs - times.lowQuantileMs));
    return Math.min(1, Math.max(0, (withinMs - times.lowQuantileMs) / spanMs));
  }

  /** Mean time in ms for which a call holds its slot; undefined before the first. */
  meanMs(): number | undefined {
    return this.meanSamples === 0 ? undefined : this.meanServiceMs;
  }
}
