import type { RequestRecord } from './records';
import type { SeriesGroup } from './report';

const BIN_MS = 500;
const MS_PER_SECOND = 1_000;

function binsOf(durationMs: number): readonly number[] {
  return Array.from({ length: Math.ceil(durationMs / BIN_MS) }, (_, index) => index * BIN_MS);
}

function perSecond(times: readonly number[], startMs: number, bins: readonly number[]): number[] {
  const counts = bins.map(() => 0);
  for (const timeMs of times) {
    const bin = Math.floor((timeMs - startMs) / BIN_MS);
    if (bin >= 0 && bin < counts.length) counts[bin] = (counts[bin] ?? 0) + 1;
  }
  return counts.map((count) => (count * MS_PER_SECOND) / BIN_MS);
}

/** Offered and completed whole requests a second for each kind over the time of a run. */
export function goodputSeries(
  title: string,
  requests: readonly RequestRecord[],
  startMs: number,
  durationMs: number,
): SeriesGroup {
  const bins = binsOf(durationMs);
  const kinds = [...new Set(requests.map(({ kind }) => kind))].sort();
  const series = kinds.flatMap((kind) => {
    const ofKind = requests.filter((request) => request.kind === kind);
    const done = ofKind.filter(({ completed }) => completed).map(({ endedMs }) => endedMs);
    const offered = ofKind.map(({ intendedMs }) => intendedMs);
    return [
      { label: `${kind} offered`, values: perSecond(offered, startMs, bins) },
      { label: `${kind} completed`, values: perSecond(done, startMs, bins) },
    ];
  });
  const timesSeconds = bins.map((binMs) => binMs / MS_PER_SECOND);
  return { title, unit: 'requests/s', timesSeconds, series };
}

/** Attempts a second by how they ended. */
export function attemptSeries(
  title: string,
  requests: readonly RequestRecord[],
  startMs: number,
  durationMs: number,
): SeriesGroup {
  const bins = binsOf(durationMs);
  const attempts = requests.flatMap((request) => request.attempts);
  const results = [...new Set(attempts.map(({ result }) => result))].sort();
  const series = results.map((result) => {
    const times = attempts
      .filter((attempt) => attempt.result === result)
      .map(({ endedMs }) => endedMs);
    return { label: result, values: perSecond(times, startMs, bins) };
  });
  const timesSeconds = bins.map((binMs) => binMs / MS_PER_SECOND);
  return { title, unit: 'attempts/s', timesSeconds, series };
}
