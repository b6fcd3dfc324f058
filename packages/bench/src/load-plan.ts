import type { RequestKind } from './deployment';
import { exponentialMs, seededRandom, streamSeed } from './random';

/** A span of the run in which demand is a multiple of its normal rate. */
export interface DemandSpan {
  readonly fromMs: number;
  readonly toMs: number;
  readonly multiplier: number;
}

/**
 * Configuration of the load generator process, read from a JSON file. Times count from the start.
 */
export interface LoadPlan {
  readonly seed: number;
  /** Prefix that distinguishes the requests of the two phases of a run. */
  readonly phase: string;
  /** Wall-clock time of the first possible arrival. */
  readonly startAtMs: number;
  readonly durationMs: number;
  readonly kinds: readonly RequestKind[];
  readonly spans: readonly DemandSpan[];
  /** Base URLs of the listeners for callers, by service. */
  readonly entries: Readonly<Record<string, readonly string[]>>;
  readonly resultsFile: string;
}

export interface Arrival {
  readonly atMs: number;
  readonly kind: RequestKind;
  readonly request: string;
}

function multiplierAt(spans: readonly DemandSpan[], atMs: number): number {
  return spans.find(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs)?.multiplier ?? 1;
}

function maxMultiplierOf(spans: readonly DemandSpan[]): number {
  return Math.max(1, ...spans.map(({ multiplier }) => multiplier));
}

function arrivalsOfKind(plan: LoadPlan, kind: RequestKind): Arrival[] {
  const random = seededRandom(streamSeed(plan.seed, kind.name));
  const maxMultiplier = maxMultiplierOf(plan.spans);
  const meanGapMs = 1_000 / (kind.ratePerSecond * maxMultiplier);
  const arrivals: Arrival[] = [];
  let atMs = exponentialMs(random, meanGapMs);
  while (atMs < plan.durationMs) {
    // Thinning: arrivals drawn at the maximum rate are kept in proportion to the current rate.
    if (random() * maxMultiplier < multiplierAt(plan.spans, atMs)) {
      arrivals.push({ atMs, kind, request: `${plan.phase}-${kind.name}-${arrivals.length}` });
    }
    atMs += exponentialMs(random, meanGapMs);
  }
  return arrivals;
}

/** All arrivals of a run in time order: a seeded Poisson process for each kind of request. */
export function planArrivals(plan: LoadPlan): readonly Arrival[] {
  return plan.kinds
    .flatMap((kind) => arrivalsOfKind(plan, kind))
    .sort((left, right) => left.atMs - right.atMs);
}
