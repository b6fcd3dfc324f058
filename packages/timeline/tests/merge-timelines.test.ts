import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { findPredecessors } from '../src/causal-order';
import { mergeTimelines } from '../src/merge-timelines';
import { payoutTimelineEvents } from './payout-timeline';

const SEED = 21;
const DAEMONS = ['pricing-1', 'pricing-2', 'teller-1', 'vault-1'];

const clockErrors = fc
  .tuple(...DAEMONS.map(() => fc.integer({ min: -3_600_000, max: 3_600_000 })))
  .map((errors) => Object.fromEntries(DAEMONS.map((name, index) => [name, errors[index] ?? 0])));

function eventKey({ daemon, sequence }: TimelineEvent): string {
  return `${daemon} ${sequence}`;
}

function callEvents(events: readonly TimelineEvent[]): string[] {
  return events.filter(({ root }) => root !== undefined).map(eventKey);
}

describe('mergeTimelines', () => {
  it('restores the order of one request regardless of clock errors and read order', () => {
    const truth = callEvents(payoutTimelineEvents());
    const shuffled = clockErrors.chain((errors) =>
      fc.shuffledSubarray(payoutTimelineEvents(errors), { minLength: truth.length + 2 }),
    );
    fc.assert(
      fc.property(shuffled, (events) => {
        const merged = mergeTimelines([...events, ...events.slice(0, 3)]);
        expect(callEvents(merged.map(({ event }) => event))).toEqual(truth);
        merged.slice(1).forEach(({ atMs }, index) => {
          expect(atMs).toBeGreaterThanOrEqual(merged[index]?.atMs ?? Number.NaN);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('keeps all events in causal order when some events are missing', () => {
    const part = clockErrors.chain((errors) => fc.shuffledSubarray(payoutTimelineEvents(errors)));
    fc.assert(
      fc.property(part, (events) => {
        const merged = mergeTimelines(events).map(({ event }) => event);
        expect(merged.map(eventKey).sort()).toEqual(events.map(eventKey).sort());
        findPredecessors(merged).forEach((before, index) => {
          expect(Math.max(-1, ...before)).toBeLessThan(index);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('orders causally unrelated events by wall-clock time', () => {
    const events = [30, 10, 20].map((wallMs): TimelineEvent => ({
      daemon: `daemon-${wallMs}`,
      incarnation: 'a',
      sequence: 1,
      wallMs,
      kind: 'daemon.state',
    }));
    expect(mergeTimelines(events).map(({ atMs }) => atMs)).toEqual([10, 20, 30]);
  });

  it('distinguishes incarnations of one daemon', () => {
    const [first, ...others] = payoutTimelineEvents();
    const again = first === undefined ? [] : [{ ...first, incarnation: 'b' }];
    const all = [...again, ...(first === undefined ? [] : [first]), ...others];
    expect(mergeTimelines(all)).toHaveLength(all.length);
  });

  it('keeps events whose causal order is contradictory', () => {
    const event = { incarnation: 'a', sequence: 1, wallMs: 1, call: 'c', parentCall: 'c' } as const;
    const events: TimelineEvent[] = [
      { ...event, daemon: 'x', kind: 'call.sent' },
      { ...event, daemon: 'y', kind: 'call.handed-over' },
      { ...event, daemon: 'x', sequence: 2, kind: 'call.answered' },
    ];
    expect(mergeTimelines(events)).toHaveLength(3);
  });
});
