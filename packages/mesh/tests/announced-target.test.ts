import { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import type { TargetAnnouncement } from '@daisyferry/mesh/daemon-record';
import { describe, expect, it } from 'vitest';

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

describe('AnnouncedTarget', () => {
  it('is serving from its first announcement until it drains', () => {
    const target = new AnnouncedTarget();
    expect(target.isServing).toBe(false);
    expect(target.applyAnnouncement(announcement(), 0)).toEqual({
      kind: 'accepted',
      isChange: true,
      isNewIncarnation: true,
    });
    expect(target.applyAnnouncement(announcement({ sequence: 6 }), 1)).toMatchObject({
      isChange: false,
    });
    target.applyAnnouncement(announcement({ sequence: 7, isDraining: true }), 2);
    expect(target.isServing).toBe(false);
  });

  it('does not serve after it stated that it leaves, until its next incarnation', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    expect(target.markLeaving()).toBe(true);
    target.applyAnnouncement(announcement({ sequence: 6 }), 1);
    target.markUnreachable();
    expect([target.markReachable(), target.isServing]).toEqual([false, false]);
    expect(target.isPresent({ targetId: 'i-1', bornUnixMs: 1_000 })).toBe(true);
    target.applyAnnouncement(announcement({ sequence: 1, bornUnixMs: 2_000 }), 2);
    expect(target.isServing).toBe(true);
    expect(target.isPresent({ targetId: 'i-1', bornUnixMs: 1_000 })).toBe(false);
  });

  it.each([
    ['an older sequence', announcement({ sequence: 4 })],
    ['the same sequence', announcement({ sequence: 5 })],
    ['an earlier incarnation under another id', announcement({ targetId: 'i-0', bornUnixMs: 900 })],
    ['an earlier incarnation under the same id', announcement({ sequence: 99, bornUnixMs: 900 })],
  ])('ignores %s', (_name, late) => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    expect(target.applyAnnouncement(late, 1).kind).toBe('stale');
    expect(target.announcement?.sequence).toBe(5);
  });

  it('ignores a late announcement of a target whose deregistration arrived first', () => {
    // The daemon restarted in between, so that it knows only the deregistration.
    const target = new AnnouncedTarget();
    expect(target.deregister('i-1', 1_000)).toBe(false);
    expect(target.applyAnnouncement(announcement({ sequence: 23 }), 1).kind).toBe('stale');
    expect(target.isServing).toBe(false);
    expect(target.applyAnnouncement(announcement({ sequence: 1, bornUnixMs: 2_000 }), 2).kind).toBe(
      'accepted',
    );
  });

  it('accepts a new incarnation under the same id, whose sequence restarts', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    const restarted = announcement({ sequence: 1, bornUnixMs: 2_000 });
    expect(target.applyAnnouncement(restarted, 1)).toEqual({
      kind: 'accepted',
      isChange: true,
      isNewIncarnation: true,
    });
  });

  it('ignores a late announcement of a replaced incarnation without a start time', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement({ bornUnixMs: undefined }), 0);
    target.applyAnnouncement(announcement({ targetId: 'i-2', bornUnixMs: undefined }), 1);
    const late = announcement({ sequence: 99, bornUnixMs: undefined });
    expect(target.applyAnnouncement(late, 2).kind).toBe('stale');
  });

  it('stays deregistered when a late announcement follows', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    expect(target.deregister('i-1', undefined)).toBe(true);
    target.applyAnnouncement(announcement({ sequence: 6 }), 1);
    expect(target.isServing).toBe(false);
  });

  it('is not affected by the deregistration of another incarnation', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    expect(target.deregister('i-0', undefined)).toBe(false);
    expect(target.deregister('i-1', 900)).toBe(false);
    expect(target.isServing).toBe(true);
  });

  it('is serving again after an announcement that follows unreachability', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement(), 0);
    expect(target.markUnreachable()).toBe(true);
    expect(target.isServing).toBe(false);
    expect(target.applyAnnouncement(announcement({ sequence: 6 }), 1)).toMatchObject({
      isChange: true,
    });
    expect(target.isServing).toBe(true);
  });

  it('counts the warm-up time down from the announcement', () => {
    const target = new AnnouncedTarget();
    target.applyAnnouncement(announcement({ coldMs: 300 }), 100);
    expect([target.coldMs(100), target.coldMs(300), target.coldMs(900)]).toEqual([300, 100, 0]);
  });

  describe('in a process that was started again', () => {
    /** A target of a new process that has learned what an earlier one knew at its end. */
    function restarted(earlier: AnnouncedTarget, nowMs = 0): AnnouncedTarget {
      const target = new AnnouncedTarget(false);
      target.restoreEnded(earlier.endedTargets(nowMs), nowMs);
      target.confirm();
      return target;
    }

    it('serves only once it is known which incarnations have ended', () => {
      const target = new AnnouncedTarget(false);
      target.applyAnnouncement(announcement(), 0);
      expect([target.isServing, target.confirm(), target.isServing]).toEqual([false, true, true]);
      expect(target.confirm()).toBe(false);
    });

    // Guards against a departed target that serves by its late announcements (DRAIN).
    it.each([
      { name: 'once', heardAtMs: [4_000], isServing: false },
      { name: 'three times at once', heardAtMs: [4_000, 4_010, 4_020], isServing: false },
      { name: 'twice in its interval', heardAtMs: [4_000, 7_000], isServing: false },
      { name: 'in its interval', heardAtMs: [1_000, 2_500, 4_000], isServing: true },
    ])(
      'serves: $isServing, heard $name while nobody tells of before',
      ({ heardAtMs, isServing }) => {
        const target = new AnnouncedTarget(false);
        let sequence = 5;
        const hear = (nowMs: number): void => {
          sequence += 1;
          target.applyAnnouncement(announcement({ sequence }), nowMs);
        };
        for (const nowMs of heardAtMs.filter((atMs) => atMs < 3_000)) hear(nowMs);
        expect(target.isServing).toBe(false);
        expect(target.confirmOnceRepeated()).toBe(false);
        for (const nowMs of heardAtMs.filter((atMs) => atMs >= 3_000)) hear(nowMs);
        expect(target.isServing).toBe(isServing);
        // Another process or the store tells at last.
        target.confirm();
        expect(target.isServing).toBe(true);
      },
    );

    it('serves as soon as that is overdue if it was heard often enough before', () => {
      const target = new AnnouncedTarget(false);
      for (const [index, nowMs] of [0, 1_000, 2_000].entries())
        target.applyAnnouncement(announcement({ sequence: 5 + index }), nowMs);
      expect([target.isServing, target.confirmOnceRepeated(), target.isServing]).toEqual([
        false,
        true,
        true,
      ]);
    });

    it.each([900, 1_500])(
      'ignores late announcements of the start at %i that has left under the id of the present one',
      (bornUnixMs) => {
        const earlier = new AnnouncedTarget();
        earlier.applyAnnouncement(announcement(), 0);
        earlier.deregister('i-1', bornUnixMs);
        const target = restarted(earlier);
        expect(target.applyAnnouncement(announcement({ bornUnixMs }), 1).kind).toBe('stale');
        target.applyAnnouncement(announcement(), 2);
        expect(target.isServing).toBe(true);
      },
    );

    it.each([
      ['has left', (target: AnnouncedTarget) => target.deregister('i-1', undefined)],
      ['states that it leaves', (target: AnnouncedTarget) => target.markLeaving()],
      [
        'was replaced',
        (target: AnnouncedTarget) =>
          target.applyAnnouncement(announcement({ targetId: 'i-2', bornUnixMs: 2_000 }), 1),
      ],
    ])('ignores late announcements of a target that %s, after two restarts', (_name, end) => {
      const earlier = new AnnouncedTarget();
      earlier.applyAnnouncement(announcement(), 0);
      end(earlier);
      const target = restarted(restarted(earlier));
      expect(target.applyAnnouncement(announcement({ sequence: 99 }), 1).kind).toBe('stale');
      target.applyAnnouncement(announcement({ sequence: 1, bornUnixMs: 3_000 }), 2);
      expect(target.isServing).toBe(true);
    });

    it('ignores the announcements of a draining target that were sent before', () => {
      const earlier = new AnnouncedTarget();
      earlier.applyAnnouncement(announcement({ sequence: 7, isDraining: true }), 0);
      const target = restarted(earlier);
      expect(target.applyAnnouncement(announcement({ sequence: 6 }), 1).kind).toBe('stale');
      target.applyAnnouncement(announcement({ sequence: 8, isDraining: true }), 2);
      expect([target.isServing, target.isEndExpected]).toEqual([false, true]);
    });

    it('stops serving an incarnation of which it learns late that it has left', () => {
      const earlier = new AnnouncedTarget();
      earlier.applyAnnouncement(announcement(), 0);
      earlier.deregister('i-1', undefined);
      const target = new AnnouncedTarget();
      target.applyAnnouncement(announcement(), 0);
      expect(target.restoreEnded(earlier.endedTargets(0), 1)).toBe(true);
      expect([target.isServing, target.isLeaving]).toEqual([false, true]);
    });

    it('takes an id whose start is unknown again after a minute', () => {
      const earlier = new AnnouncedTarget();
      earlier.applyAnnouncement(announcement({ bornUnixMs: undefined }), 0);
      earlier.deregister('i-1', undefined);
      const target = restarted(earlier);
      const anew = announcement({ sequence: 1, bornUnixMs: undefined });
      expect(target.applyAnnouncement(anew, 59_999).kind).toBe('stale');
      expect(target.endedTargets(60_000)).toEqual([]);
      expect(target.applyAnnouncement(anew, 60_000).kind).toBe('accepted');
    });
  });

  describe('after the time of day was set back', () => {
    const stepped = (sequence: number) =>
      announcement({ targetId: 'i-2', bornUnixMs: 400, sequence });

    it('accepts a target that goes on announcing itself while the previous one is silent', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(announcement(), 0);
      expect(target.applyAnnouncement(stepped(1), 5_000).kind).toBe('stale');
      expect(target.applyAnnouncement(stepped(2), 6_500).kind).toBe('stale');
      expect(target.applyAnnouncement(stepped(3), 8_000)).toMatchObject({ isNewIncarnation: true });
      expect(target.announcement?.targetId).toBe('i-2');
    });

    it.each([
      ['while the present target announces itself', [1, 2, 3, 4], true],
      ['if they are repetitions', [1, 1, 1, 1], false],
    ])('ignores late announcements of an earlier target %s', (_name, sequences, isPresentAlive) => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(announcement(), 0);
      for (const [index, sequence] of sequences.entries()) {
        const nowMs = 5_000 + index * 1_500;
        expect(target.applyAnnouncement(stepped(sequence), nowMs).kind).toBe('stale');
        if (isPresentAlive)
          target.applyAnnouncement(announcement({ sequence: 6 + index }), nowMs + 700);
      }
      expect(target.announcement?.targetId).toBe('i-1');
    });

    it('ignores late announcements that arrive at once', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(announcement(), 0);
      for (const sequence of [1, 2, 3, 4, 5])
        expect(target.applyAnnouncement(stepped(sequence), 5_000 + sequence).kind).toBe('stale');
    });

    it('never accepts an incarnation that has ended', () => {
      const target = new AnnouncedTarget();
      target.deregister('i-2', 400);
      target.applyAnnouncement(announcement(), 0);
      for (const sequence of [1, 2, 3, 4, 5])
        expect(target.applyAnnouncement(stepped(sequence), sequence * 1_500).kind).toBe('stale');
    });
  });

  // Guards against a present target that is never heard again after one wrong message (RECOVER).
  describe('that is wrongly believed to have ended', () => {
    const own = (sequence: number) => announcement({ sequence });
    const foreign = (changes: Partial<TargetAnnouncement>) =>
      announcement({ targetId: 'i-x', sequence: 1, bornUnixMs: 2_000, ...changes });

    it.each([
      ['another id and a later start', foreign({})],
      ['another id and the same start', foreign({ bornUnixMs: 1_000 })],
      ['another id and a start in the far future', foreign({ bornUnixMs: 2 ** 52 })],
      ['its own id and a later start', foreign({ targetId: 'i-1' })],
      ['its own id and a later start, draining', foreign({ targetId: 'i-1', isDraining: true })],
      ['its own id and start and a great number', announcement({ sequence: 2 ** 50 })],
    ])('serves again within three announcements after one with %s', (_name, wrong) => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      target.applyAnnouncement(wrong, 100);
      for (const [index, nowMs] of [1_500, 3_000, 4_500].entries())
        target.applyAnnouncement(own(6 + index), nowMs);
      expect(target.announcement).toEqual(own(8));
      expect(target.isServing).toBe(true);
      expect(target.endedTargets(4_500)).not.toContainEqual(
        expect.objectContaining({ targetId: 'i-1', bornUnixMs: 1_000 }),
      );
    });

    it.each([0, 1])('serves again in a new process that has heard it %i times before', (count) => {
      const earlier = new AnnouncedTarget();
      earlier.applyAnnouncement(own(5), 0);
      earlier.applyAnnouncement(foreign({}), 100);
      const target = new AnnouncedTarget(false);
      if (count > 0) target.applyAnnouncement(own(6), 0);
      target.restoreEnded(earlier.endedTargets(100), 0);
      target.confirm();
      for (const [index, nowMs] of [1_500, 3_000, 4_500].entries())
        target.applyAnnouncement(own(7 + index), nowMs);
      expect(target.isServing).toBe(true);
      expect(target.announcement?.targetId).toBe('i-1');
    });

    it('stays replaced while the other target announces itself too', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      for (let turn = 0; turn < 40; turn += 1) {
        target.applyAnnouncement(foreign({ sequence: 1 + turn }), turn * 1_500 + 100);
        expect(target.applyAnnouncement(own(6 + turn), turn * 1_500 + 200).kind).toBe('stale');
      }
      expect(target.announcement?.targetId).toBe('i-x');
    });

    it.each([
      ['left', (target: AnnouncedTarget) => target.deregister('i-1', 1_000)],
      [
        'left, and was replaced',
        (target: AnnouncedTarget) => {
          target.deregister('i-1', 1_000);
          target.applyAnnouncement(foreign({}), 0);
        },
      ],
      [
        'drained',
        (target: AnnouncedTarget) =>
          target.applyAnnouncement(announcement({ sequence: 2 ** 50, isDraining: true }), 0),
      ],
    ])('serves again after a minute of announcements, and not before, if it %s', (_name, end) => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      end(target);
      let nowMs = 1_500;
      for (let sequence = 6; nowMs < 61_500; sequence += 1, nowMs += 1_500) {
        expect(target.applyAnnouncement(own(sequence), nowMs).kind).toBe('stale');
        expect(target.isServing && target.announcement?.targetId === 'i-1').toBe(false);
      }
      expect(target.applyAnnouncement(own(100), nowMs).kind).toBe('accepted');
      expect([target.isServing, target.isLeaving]).toEqual([true, false]);
      expect(target.endedTargets(nowMs).some(({ targetId }) => targetId === 'i-1')).toBe(false);
    });

    // Guards against an acknowledged end that is not kept, as something else was believed (DRAIN).
    it('has ended for good once it drains while another target is believed to be there', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      target.applyAnnouncement(foreign({}), 100);
      const { otherEndedCount } = target;
      expect(
        target.applyAnnouncement(announcement({ sequence: 6, isDraining: true }), 200),
      ).toEqual({
        kind: 'stale',
        reason: 'incarnation has ended',
      });
      expect(target.otherEndedCount).toBeGreaterThan(otherEndedCount);
      for (const sequence of [3, 4, 5, 6])
        expect(target.applyAnnouncement(own(sequence), sequence * 1_500).kind).toBe('stale');
      expect(target.endedTargets(9_000)).toContainEqual({
        targetId: 'i-1',
        bornUnixMs: 1_000,
        drainingSequence: 6,
        isPresumed: undefined,
      });
    });

    it('drains although a greater number was announced for it', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(announcement({ sequence: 2 ** 50 }), 0);
      expect(
        target.applyAnnouncement(announcement({ sequence: 6, isDraining: true }), 100),
      ).toMatchObject({ kind: 'accepted', isChange: true });
      expect([target.isServing, target.isEndExpected]).toEqual([false, true]);
      expect(target.applyAnnouncement(own(7), 1_500).kind).toBe('stale');
    });

    it('is not forgotten for ends that were presumed, however many there are', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      target.deregister('i-1', 1_000);
      for (let number = 0; number < 200; number += 1)
        target.applyAnnouncement(foreign({ targetId: `x-${number}` }), 1);
      const ended = target.endedTargets(2);
      expect(ended.some(({ targetId }) => targetId === 'i-1')).toBe(true);
      expect(ended.length).toBeLessThanOrEqual(64);
    });

    it('states that it has returned, until it leaves again', () => {
      const target = new AnnouncedTarget();
      target.applyAnnouncement(own(5), 0);
      target.deregister('i-1', 1_000);
      for (const [index, nowMs] of [1_500, 3_000, 61_500].entries())
        target.applyAnnouncement(own(6 + index), nowMs);
      expect([target.hasReturned, target.isLeaving]).toEqual([true, false]);
      target.deregister('i-1', 1_000);
      expect([target.hasReturned, target.isLeaving]).toEqual([false, true]);
    });
  });
});
