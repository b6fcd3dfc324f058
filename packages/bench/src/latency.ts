import { build } from 'hdr-histogram-js';
import type { RequestRecord } from './records';
import type { LatencySummary } from './report';

const MICROSECONDS_PER_MS = 1_000;

/** Percentiles of times in ms, kept by a high dynamic range histogram in microseconds. */
export function summarizeMs(timesMs: readonly number[]): LatencySummary {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const timeMs of timesMs) {
    histogram.recordValue(Math.max(0, Math.round(timeMs * MICROSECONDS_PER_MS)));
  }
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    p50Ms: at(50),
    p90Ms: at(90),
    p99Ms: at(99),
    maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}

/** Latencies of completed requests by kind, from the intended start. */
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
