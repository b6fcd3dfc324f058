import { build } from 'hdr-histogram-js';
import type { RequestRecord } from './records';
import type { LatencySummary } from './report';

const MICROSECONDS_PER_MS = 1_000;

/** Percentiles and maximum of times in ms, from an HDR histogram in microseconds. */
export function summarizeMs(timesMs: readonly number[]): LatencySummary {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const timeMs of timesMs) {
    histogram.recordValue(Math.max(0, Math.round(timeMs * MICROSECONDS_PER_MS)));
  }
  const percentileMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    p50Ms: percentileMs(50),
    p90Ms: percentileMs(90),
    p99Ms: percentileMs(99),
    maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}

/** Latencies of completed requests by kind, measured from the intended start. */
export function latencyByKind(requests: readonly RequestRecord[]): Record<string, LatencySummary> {
  const kinds = [...new Set(requests.map(({ kind }) => kind))].sort();
  const summaries = kinds.map((kind) => {
    const times = requests
      .filter((request) => request.kind === kind && request.completed)
      .map(({ intendedMs, endedMs }) => endedMs - intendedMs);
    return [kind, summarizeMs(times)] as const;
  });
  return Object.fromEntries(summaries);
}
