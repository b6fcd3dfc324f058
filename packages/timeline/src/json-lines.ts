import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { MergedEvent } from './merge-timelines';
import { timelineEventSchema } from './timeline-document';

export type ReadLines =
  | { readonly ok: true; readonly events: readonly TimelineEvent[] }
  /** The first line that is no event, counted from 1. */
  | { readonly ok: false; readonly line: number; readonly problem: string };

/** One event on each line, in merged order. */
export function writeJsonLines(merged: readonly MergedEvent[]): string {
  return merged.map(({ event }) => `${JSON.stringify(event)}\n`).join('');
}

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/** Reads what `writeJsonLines` wrote; empty lines are passed over. */
export function readJsonLines(text: string): ReadLines {
  const events: TimelineEvent[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const parsed = timelineEventSchema.safeParse(parseLine(line));
    if (!parsed.success) {
      const problem = parsed.error.issues[0]?.message ?? 'no event';
      return { ok: false, line: index + 1, problem };
    }
    events.push(parsed.data);
  }
  return { ok: true, events };
}
