/** Quantile of the service time that the remaining budget of a call must cover. */
const LOW_QUANTILE = 0.1;
/** Relative step size of the streaming quantile. */
const QUANTILE_STEP = 0.1;
/** Completed calls of a method from which on its estimate is used. */
const MIN_SAMPLES = 16;
/** Number of samples over which the moving mean is taken. */
const MEAN_SAMPLES = 64;
const MIN_SERVICE_MS = 0.01;

interface MethodTimes {
  lowQuantileMs: number;
  meanMs: number;
  samples: number;
}

/**
 * Streaming estimates: service times by method, and the mean slot occupancy over all methods. The
 * occupancy is the time from admission to the end of a call; the service time is that of the
 * completed calls only.
 */
export class ServiceTimes {
  private readonly byMethod = new Map<string, MethodTimes>();

  private occupancyMeanMs = 0;

  private meanSamples = 0;

  /** Records how long a call occupied its slot. */
  recordOccupancy(occupancyMs: number): void {
    const sampleMs = Math.max(MIN_SERVICE_MS, occupancyMs);
    this.meanSamples = Math.min(MEAN_SAMPLES, this.meanSamples + 1);
    this.occupancyMeanMs += (sampleMs - this.occupancyMeanMs) / this.meanSamples;
  }

  /** Records the service time of a completed call. */
  recordCompletion(method: string, serviceMs: number): void {
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

  /** 10th percentile of the method's service time in ms; undefined until enough calls completed. */
  lowQuantileMs(method: string): number | undefined {
    const times = this.byMethod.get(method);
    if (times === undefined || times.samples < MIN_SAMPLES) return undefined;
    return times.lowQuantileMs;
  }

  /**
   * Probability in [0, 1] that a call of the method finishes within a time: linear, 0 at the low
   * quantile and 0.5 at the mean. It is 1 until enough calls have completed.
   */
  finishProbability(method: string, withinMs: number): number {
    const times = this.byMethod.get(method);
    if (times === undefined || times.samples < MIN_SAMPLES) return 1;
    const spanMs = Math.max(MIN_SERVICE_MS, 2 * (times.meanMs - times.lowQuantileMs));
    return Math.min(1, Math.max(0, (withinMs - times.lowQuantileMs) / spanMs));
  }

  /** Mean slot occupancy of a call in ms; undefined before the first sample. */
  meanOccupancyMs(): number | undefined {
    return this.meanSamples === 0 ? undefined : this.occupancyMeanMs;
  }
}
