import { writeChromeTrace } from './chrome-trace';
import { writeJsonLines } from './json-lines';
import type { MergedEvent } from './merge-timelines';
import { writeReadableView } from './readable-view';

/** Forms in which a time line is written. */
export const TimelineFormat = {
  /** One event on each line. */
  jsonl: 'jsonl',
  /** For people. */
  text: 'text',
  /** Chrome trace event format. */
  trace: 'trace',
} as const;

export type TimelineFormatName = (typeof TimelineFormat)[keyof typeof TimelineFormat];

/** Writes merged events in a form. */
export function renderTimeline(merged: readonly MergedEvent[], format: TimelineFormatName): string {
  switch (format) {
    case TimelineFormat.jsonl:
      return writeJsonLines(merged);
    case TimelineFormat.text:
      return writeReadableView(merged);
    case TimelineFormat.trace:
      return writeChromeTrace(merged);
    default:
      throw new Error(`no such format: ${String(format satisfies never)}`);
  }
}
