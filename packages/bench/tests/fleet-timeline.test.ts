import { describe, expect, it } from 'vitest';
import {
  detectionOf,
  propagationOf,
  revertedRevisions,
  type FleetEvent,
} from '../src/fleet-timeline';

function applied(revision: number, wallMs: number): FleetEvent {
  return { kind: 'policy.applied', detail: String(revision), wallMs };
}

function memberState(detail: string, wallMs: number): FleetEvent {
  return { kind: 'member.state', detail, wallMs };
}

describe('propagationOf', () => {
  it('takes a later revision for a change that was skipped, and counts what never came', () => {
    const timelines = [[applied(1, 110), applied(3, 150)], [applied(1, 120)]];
    const changes = [
      { revision: 1, askedAtMs: 100 },
      { revision: 2, askedAtMs: 130 },
    ];
    expect(propagationOf(changes, timelines)).toEqual({ timesMs: [10, 20, 20], missing: 1 });
  });
});

describe('revertedRevisions', () => {
  it('counts each step back', () => {
    const forth = [applied(1, 0), applied(2, 1), applied(3, 2)];
    const back = [applied(2, 0), applied(1, 1)];
    expect(revertedRevisions([forth])).toBe(0);
    expect(revertedRevisions([forth, back])).toBe(1);
  });
});

describe('detectionOf', () => {
  const before = memberState('daemon-1 suspect serving', 90);
  const refuted = memberState('daemon-1 alive serving', 95);
  const noticed = memberState('daemon-1 suspect serving', 130);
  const other = memberState('daemon-11 dead serving', 120);

  it.each([
    { what: 'each notice', survivors: [[noticed], [refuted, noticed]], timesMs: [30, 30] },
    { what: 'a suspicion that stands', survivors: [[before]], timesMs: [0] },
    { what: 'nothing after a refuted suspicion', survivors: [[before, refuted]], timesMs: [] },
    { what: 'nothing for another name', survivors: [[other]], timesMs: [] },
  ])('finds $what', ({ survivors, timesMs }) => {
    const missing = survivors.length - timesMs.length;
    expect(detectionOf(['daemon-1'], 100, survivors)).toEqual({ timesMs, missing });
  });
});
