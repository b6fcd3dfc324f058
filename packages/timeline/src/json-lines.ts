import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { MergedEvent } from './merge-timelines';
import { timelineEventSchema } from './timeline-schemas';

export type JsonLinesResult =
  | { readonly ok: true; readonly events: readonly TimelineEvent[] }
  /** Number of the first line that is not an event, starting at 1. */
  | { readonly ok: false; readonly line: number; readonly problem: string };

/** Writes one event per line, in merged order. */
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

/** Parses the output of `writeJsonLines`; empty lines are skipped. */
export function readJsonLines(text: string): JsonLinesResult {
  const events: TimelineEvent[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const parsed = timelineEventSchema.safeParse(parseLine(line));
    if (!parsed.success) {
      const problem = parsed.error.issues[0]?.message ?? 'not an event';
      return { ok: false, line: index + 1, problem };
    }
    events.push(parsed.data);
  }
  return { ok: true, events };
}
