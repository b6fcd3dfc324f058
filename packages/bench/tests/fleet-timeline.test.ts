import { describe, expect, it } from 'vitest';
import {
  measureDetection,
  measurePropagation,
  countRevertedRevisions,
  type FleetEvent,
} from '../src/fleet-timeline';

function applied(revision: number, wallMs: number): FleetEvent {
  return { kind: 'policy.applied', detail: String(revision), wallMs };
}

function memberState(detail: string, wallMs: number): FleetEvent {
  return { kind: 'member.state', detail, wallMs };
}

describe('measurePropagation', () => {
  it('accepts a later revision for a skipped change and counts changes that were never applied', () => {
    const timelines = [[applied(1, 110), applied(3, 150)], [applied(1, 120)]];
    const changes = [
      { revision: 1, requestedAtMs: 100 },
      { revision: 2, requestedAtMs: 130 },
    ];
    expect(measurePropagation(changes, timelines)).toEqual({ timesMs: [10, 20, 20], missing: 1 });
  });
});

describe('countRevertedRevisions', () => {
  it('counts each revision lower than the one before', () => {
    const increasing = [applied(1, 0), applied(2, 1), applied(3, 2)];
    const decreasing = [applied(2, 0), applied(1, 1)];
    expect(countRevertedRevisions([increasing])).toBe(0);
    expect(countRevertedRevisions([increasing, decreasing])).toBe(1);
  });
});

describe('measureDetection', () => {
  const suspectedBeforeKill = memberState('daemon-1 suspect serving', 90);
  const refutedBeforeKill = memberState('daemon-1 alive serving', 95);
  const suspectedAfterKill = memberState('daemon-1 suspect serving', 130);
  const otherMember = memberState('daemon-11 dead serving', 120);

  it.each([
    {
      what: 'the suspicion by each survivor',
      survivors: [[suspectedAfterKill], [refutedBeforeKill, suspectedAfterKill]],
      timesMs: [30, 30],
    },
    { what: 'a suspicion from before the kill', survivors: [[suspectedBeforeKill]], timesMs: [0] },
    {
      what: 'no detection after a refuted suspicion',
      survivors: [[suspectedBeforeKill, refutedBeforeKill]],
      timesMs: [],
    },
    {
      what: 'no detection from the state of another member',
      survivors: [[otherMember]],
      timesMs: [],
    },
  ])('finds $what', ({ survivors, timesMs }) => {
    const missing = survivors.length - timesMs.length;
    expect(measureDetection(['daemon-1'], 100, survivors)).toEqual({ timesMs, missing });
  });
});
