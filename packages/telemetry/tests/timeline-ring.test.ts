import { describe, expect, it } from 'vitest';
import { TimelineRing } from '../src/timeline-ring';

function ring(capacityEvents: number, sampleRatio = 1): TimelineRing {
  return new TimelineRing({
    self: { name: 'vault-1', incarnation: '0000000000000001' },
    capacityEvents,
    sampleRatio,
    scheduler: { nowMs: () => 5, after: () => ({ cancel: () => undefined }) },
    rootHash: (rootId) => Number(rootId) / 10,
  });
}

describe('TimelineRing', () => {
  it('returns pages of events in order', () => {
    const events = ring(8);
    for (const root of ['1', '2', '3']) events.emit({ kind: 'call.received', root });
    expect(events.read(0, 2).events.map((event) => event.sequence)).toEqual([1, 2]);
    expect(events.read(2, 2).events.map((event) => event.root)).toEqual(['3']);
  });

  it('reports how many events were overwritten', () => {
    const events = ring(4);
    for (let index = 0; index < 10; index += 1) events.emit({ kind: 'target.state' });
    const page = events.read(3, 100);
    expect(page.lost).toBe(3);
    expect(page.events.map((event) => event.sequence)).toEqual([7, 8, 9, 10]);
  });

  it('samples call events by root and records all state changes', () => {
    const events = ring(16, 0.5);
    for (let root = 0; root < 10; root += 1) events.emit({ kind: 'call.sent', root: String(root) });
    events.emit({ kind: 'policy.applied' });
    const kinds = events.read(0, 100).events.map((event) => event.kind);
    expect(kinds).toEqual([...new Array(5).fill('call.sent'), 'policy.applied']);
  });
});
