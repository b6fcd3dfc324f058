import { LocalTarget } from '@daisyferry/mesh/local-target';
import { describe, expect, it } from 'vitest';
import type { TargetAnnouncement } from '../src/daemon-record';

function announcement(changes: Partial<TargetAnnouncement> = {}): TargetAnnouncement {
  return {
    targetId: 'i-1',
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    slots: 4,
    isDraining: false,
    coldMs: 0,
    sequence: 5,
    bornUnixMs: 1_000,
    ...changes,
  };
}

describe('LocalTarget', () => {
  it('serves from its first announcement until it drains', () => {
    const target = new LocalTarget();
    expect(target.isServing).toBe(false);
    expect(target.announce(announcement(), 0)).toEqual({ kind: 'accepted', isChange: true });
    expect(target.announce(announcement({ sequence: 6 }), 1)).toMatchObject({ isChange: false });
    target.announce(announcement({ sequence: 7, isDraining: true }), 2);
    expect(target.isServing).toBe(false);
  });

  it.each([
    ['an older sequence', announcement({ sequence: 4 })],
    ['the same sequence', announcement({ sequence: 5 })],
    ['an earlier incarnation under another id', announcement({ targetId: 'i-0', bornUnixMs: 900 })],
    ['an earlier life under the same id', announcement({ sequence: 99, bornUnixMs: 900 })],
  ])('ignores %s', (_name, late) => {
    const target = new LocalTarget();
    target.announce(announcement(), 0);
    expect(target.announce(late, 1).kind).toBe('stale');
    expect(target.announcement?.sequence).toBe(5);
  });

  it('ignores a late announcement of a target whose farewell came first', () => {
    // The daemon was restarted in between: it knows nothing but the farewell.
    const target = new LocalTarget();
    expect(target.leave('i-1', 1_000)).toBe(false);
    expect(target.announce(announcement({ sequence: 23 }), 1).kind).toBe('stale');
    expect(target.isServing).toBe(false);
    expect(target.announce(announcement({ sequence: 1, bornUnixMs: 2_000 }), 2).kind).toBe(
      'accepted',
    );
  });

  it('takes a new life under the same id, whose sequence starts anew', () => {
    const target = new LocalTarget();
    target.announce(announcement(), 0);
    const reborn = announcement({ sequence: 1, bornUnixMs: 2_000 });
    expect(target.announce(reborn, 1)).toEqual({ kind: 'accepted', isChange: true });
  });

  it('ignores a late announcement of a replaced incarnation that names no birth', () => {
    const target = new LocalTarget();
    target.announce(announcement({ bornUnixMs: undefined }), 0);
    target.announce(announcement({ targetId: 'i-2', bornUnixMs: undefined }), 1);
    const late = announcement({ sequence: 99, bornUnixMs: undefined });
    expect(target.announce(late, 2).kind).toBe('stale');
  });

  it('stays gone after its farewell, also when a late announcement follows', () => {
    const target = new LocalTarget();
    target.announce(announcement(), 0);
    expect(target.leave('i-1', undefined)).toBe(true);
    target.announce(announcement({ sequence: 6 }), 1);
    expect(target.isServing).toBe(false);
  });

  it('is not stopped by the farewell of another incarnation', () => {
    const target = new LocalTarget();
    target.announce(announcement(), 0);
    expect(target.leave('i-0', undefined)).toBe(false);
    expect(target.leave('i-1', 900)).toBe(false);
    expect(target.isServing).toBe(true);
  });

  it('serves again once it is heard of after it was out of reach', () => {
    const target = new LocalTarget();
    target.announce(announcement(), 0);
    expect(target.noteUnreachable()).toBe(true);
    expect(target.isServing).toBe(false);
    expect(target.announce(announcement({ sequence: 6 }), 1)).toMatchObject({ isChange: true });
    expect(target.isServing).toBe(true);
  });

  it('counts the cold time down from the announcement', () => {
    const target = new LocalTarget();
    target.announce(announcement({ coldMs: 300 }), 100);
    expect([target.coldMs(100), target.coldMs(300), target.coldMs(900)]).toEqual([300, 100, 0]);
  });
});
