import type { RequestRecord } from './records';
import type { SeriesGroup } from './report';

const BIN_MS = 500;
const MS_PER_SECOND = 1_000;

function binStartsMs(durationMs: number): readonly number[] {
  return Array.from({ length: Math.ceil(durationMs / BIN_MS) }, (_, index) => index * BIN_MS);
}

function ratePerBin(
  timesMs: readonly number[],
  startMs: number,
  bins: readonly number[],
): number[] {
  const counts = bins.map(() => 0);
  for (const timeMs of timesMs) {
    const binIndex = Math.floor((timeMs - startMs) / BIN_MS);
    if (binIndex >= 0 && binIndex < counts.length) counts[binIndex] = (counts[binIndex] ?? 0) + 1;
  }
  return counts.map((count) => (count * MS_PER_SECOND) / BIN_MS);
}

/** Offered and completed requests per second for each kind over the time of a run. */
export function goodputSeries(
  title: string,
  requests: readonly RequestRecord[],
  startMs: number,
  durationMs: number,
): SeriesGroup {
  const bins = binStartsMs(durationMs);
  const kinds = [...new Set(requests.map(({ kind }) => kind))].sort();
  const series = kinds.flatMap((kind) => {
    const requestsOfKind = requests.filter((request) => request.kind === kind);
    const completedMs = requestsOfKind
      .filter(({ completed }) => completed)
      .map(({ endedMs }) => endedMs);
    const offeredMs = requestsOfKind.map(({ intendedMs }) => intendedMs);
    return [
      { label: `${kind} offered`, values: ratePerBin(offeredMs, startMs, bins) },
      { label: `${kind} completed`, values: ratePerBin(completedMs, startMs, bins) },
    ];
  });
  const timesSeconds = bins.map((binMs) => binMs / MS_PER_SECOND);
  return { title, unit: 'requests/s', timesSeconds, series };
}

/** Attempts per second by result. */
export function attemptSeries(
  title: string,
  requests: readonly RequestRecord[],
  startMs: number,
  durationMs: number,
): SeriesGroup {
  const bins = binStartsMs(durationMs);
  const attempts = requests.flatMap((request) => request.attempts);
  const results = [...new Set(attempts.map(({ result }) => result))].sort();
  const series = results.map((result) => {
    const endTimesMs = attempts
      .filter((attempt) => attempt.result === result)
      .map(({ endedMs }) => endedMs);
    return { label: result, values: ratePerBin(endTimesMs, startMs, bins) };
  });
  const timesSeconds = bins.map((binMs) => binMs / MS_PER_SECOND);
  return { title, unit: 'attempts/s', timesSeconds, series };
}
