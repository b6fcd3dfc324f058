import type { SafetyCounts } from './safety-counts';

/** Percentiles of the latency of completed requests, measured from the intended start. */
export interface LatencySummary {
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Results of one phase of a run: the system, or the baseline without decisions. */
export interface PhaseReport extends SafetyCounts {
  readonly offeredRequests: number;
  readonly completedRequests: number;
  /** Capacity of the slowest service during the evaluation span. */
  readonly capacityRequestsPerSecond: number;
  /**
   * Requests through the slowest service that completed during the evaluation span, divided by its
   * capacity, or by the offered requests if there were fewer.
   */
  readonly goodputRatio: number;
  readonly moneyOffered: number;
  /** 1 if no money request was offered. */
  readonly moneyCompletedRatio: number;
  /** Null if the ratio of completed requests never returned to normal. */
  readonly recoveryTimeMs: number | null;
  readonly retryBound: number;
  readonly wastedSlotMs: number;
  /** Ratio of completed requests among those with an intended start in the evaluation span. */
  readonly completedShareJudged: number;
  readonly latency: Readonly<Record<string, LatencySummary>>;
  /** Number of attempts by result and reason. */
  readonly attempts: Readonly<Record<string, number>>;
  readonly policyOutcomes: readonly string[];
  readonly storeCounts: Readonly<Record<string, number>>;
  /** CPU time in ms of each process from its start to the end of the load. */
  readonly cpuMs: Readonly<Record<string, number>>;
  /** Event loop delay of the load generator; a large value makes the latencies unreliable. */
  readonly generatorDelayP99Ms: number;
  readonly problems: readonly string[];
}

/** One line of a chart; null marks a missing sample. */
export interface Series {
  readonly label: string;
  readonly values: readonly (number | null)[];
}

/** The lines of one chart. Times in s from the start of the load. */
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

/** Charts that the page shows in addition to the figures. */
export interface ReportCharts {
  readonly groups: readonly SeriesGroup[];
}
