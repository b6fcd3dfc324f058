import { describe, expect, it } from 'vitest';
import { readJsonLines } from '../src/json-lines';
import { mergeTimelines } from '../src/merge-timelines';
import { renderTimeline, TimelineFormat } from '../src/render';
import { selectEvents } from '../src/selection';
import { payoutTimelineEvents } from './payout-timeline';

/** Clock errors that contradict the causal order of the calls. */
const CLOCK_ERRORS = { 'vault-1': -500, 'pricing-2': 2_000 };
const merged = mergeTimelines(payoutTimelineEvents(CLOCK_ERRORS));

describe('renderTimeline', () => {
  it.each([
    { format: TimelineFormat.text, file: 'payout-timeline.txt' },
    { format: TimelineFormat.jsonl, file: 'payout-timeline.jsonl' },
    { format: TimelineFormat.trace, file: 'payout-timeline.trace.json' },
  ])('writes $format', async ({ format, file }) => {
    await expect(renderTimeline(merged, format)).toMatchFileSnapshot(`golden/${file}`);
  });

  it('parses its own JSON Lines output', () => {
    const read = readJsonLines(renderTimeline(merged, TimelineFormat.jsonl));
    expect(read).toEqual({ ok: true, events: merged.map(({ event }) => event) });
  });

  it.each([
    { title: 'invalid JSON', text: '\n{"daemon":', line: 2 },
    { title: 'an unknown kind', text: '{"daemon":"a","incarnation":"b","kind":"x"}', line: 1 },
    { title: 'a value that is not an object', text: '7', line: 1 },
  ])('reports the line number of $title', ({ text, line }) => {
    expect(readJsonLines(text)).toMatchObject({ ok: false, line });
  });

  it('writes a trace in which each call arrives after it was sent', () => {
    const { traceEvents } = JSON.parse(renderTimeline(merged, TimelineFormat.trace)) as {
      traceEvents: { ph: string; id?: string; ts: number; dur?: number }[];
    };
    const flows = (ph: string) => traceEvents.filter((entry) => entry.ph === ph);
    expect(flows('s').map(({ id }) => id)).toEqual(['c-1', 'c-2', 'c-3']);
    for (const { id, ts } of flows('f')) {
      expect(ts).toBeGreaterThanOrEqual(
        flows('s').find((sent) => sent.id === id)?.ts ?? Number.NaN,
      );
    }
    expect(flows('X').every(({ dur }) => dur !== undefined && dur >= 0)).toBe(true);
  });

  it.each([
    { selection: { root: 'root-payout' }, count: 17 },
    { selection: { root: 'other' }, count: 0 },
    { selection: { fromMs: merged[4]?.atMs, toMs: merged[4]?.atMs }, count: 1 },
    { selection: {}, count: 19 },
  ])('selects $count events by $selection', ({ selection, count }) => {
    const found = selectEvents(mergeTimelines(payoutTimelineEvents()), selection);
    expect(found.length).toBe(count);
  });
});
