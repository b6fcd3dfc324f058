import type { SafetyCounts } from './safety';

/** Percentiles of the latency of completed requests, from the intended start. */
export interface LatencySummary {
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Results of one half of a run: the system, or the baseline without its decisions. */
export interface PhaseReport extends SafetyCounts {
  readonly offeredRequests: number;
  readonly completedRequests: number;
  /** What the slowest service could carry during the judged span. */
  readonly capacityRequestsPerSecond: number;
  /**
   * Requests through the slowest service that completed during the judged span, divided by what it
   * could carry, or by what was offered where that is less.
   */
  readonly goodputRatio: number;
  readonly moneyOffered: number;
  /** 1 where no money request was offered. */
  readonly moneyCompletedRatio: number;
  /** Null if the share of completed requests never returned to normal. */
  readonly recoveryTimeMs: number | null;
  readonly retryBound: number;
  readonly wastedSlotMs: number;
  /** Share of the requests that completed during the judged span, by their intended start. */
  readonly completedShareJudged: number;
  readonly latency: Readonly<Record<string, LatencySummary>>;
  /** Outcomes of attempts by result and reason. */
  readonly attempts: Readonly<Record<string, number>>;
  readonly policyOutcomes: readonly string[];
  readonly storeCounts: Readonly<Record<string, number>>;
  /** Processor time of each process from its start to the end of the load. */
  readonly cpuMs: Readonly<Record<string, number>>;
  /** Lag of the load generator's own event loop; large values make the latencies doubtful. */
  readonly generatorDelayP99Ms: number;
  readonly problems: readonly string[];
}

/** One line of a chart; a missing sample is null. */
export interface Series {
  readonly label: string;
  readonly values: readonly (number | null)[];
}

/** Lines over time for one chart. Times in s from the start of the load. */
export interface SeriesGroup {
  readonly title: string;
  readonly unit: string;
  readonly timesSeconds: readonly number[];
  readonly series: readonly Series[];
}

export interface LoadReport {
  readonly deployment: string;
  readonly scenario: string;
  readonly seed: number;
  readonly disabledMechanisms: readonly string[];
  readonly system: PhaseReport;
  readonly baseline: PhaseReport | null;
}

/** What the page shows beside the figures. */
export interface ReportCharts {
  readonly groups: readonly SeriesGroup[];
}
