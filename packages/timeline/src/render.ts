import { writeChromeTrace } from './chrome-trace';
import { writeJsonLines } from './json-lines';
import type { MergedEvent } from './merge-timelines';
import { writeReadableView } from './readable-view';

/** Output formats of a timeline. */
export const TimelineFormat = {
  /** One JSON event per line. */
  jsonl: 'jsonl',
  /** Human-readable text. */
  text: 'text',
  /** Chrome trace event format. */
  trace: 'trace',
} as const;

export type TimelineFormatName = (typeof TimelineFormat)[keyof typeof TimelineFormat];

export function renderTimeline(merged: readonly MergedEvent[], format: TimelineFormatName): string {
  switch (format) {
    case TimelineFormat.jsonl:
      return writeJsonLines(merged);
    case TimelineFormat.text:
      return writeReadableView(merged);
    case TimelineFormat.trace:
      return writeChromeTrace(merged);
    default:
      throw new Error(`unknown format: ${String(format satisfies never)}`);
  }
}
