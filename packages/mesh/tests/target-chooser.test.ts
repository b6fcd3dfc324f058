import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { TargetLoad } from '@daisyferry/mesh/forwarded-call';
import { TargetChooser, type TargetQuery } from '@daisyferry/mesh/target-chooser';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { describe, expect, it } from 'vitest';

const IDLE: TargetLoad = {
  running: 0,
  waiting: 0,
  limit: 10,
  serviceMs: 20,
  level: 0,
  internalShare: 0,
  isInternal: false,
  routeMs: 20,
};

/** A Lehmer generator, deterministic for its seed. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** A chooser that knows a target on each daemon; all but `unconnected` are connected. */
function chooserOf(
  zones: Readonly<Record<string, string>>,
  maxCandidates = 12,
  unconnected: readonly string[] = [],
  notices = new TargetNoticeTable(),
): TargetChooser {
  const directory = new FleetDirectory();
  for (const [daemonId, zone] of Object.entries(zones)) {
    const target = { targetId: daemonId, service: 's', slots: 10, isServing: true, coldMs: 0 };
    const record = {
      daemonId,
      incarnation: 1,
      revision: 1,
      address: new SocketAddress('10.0.0.1', 1),
      zone,
      isLeaving: false,
    };
    directory.applyRecord({ ...record, target }, 'stored', 0);
    directory.setConnected(daemonId, !unconnected.includes(daemonId), 0);
  }
  return new TargetChooser(directory, { ownZone: 'near', maxCandidates, notices }, seededRandom(7));
}

const QUERY: TargetQuery = { service: 's', route: 'r', usefulMs: 100, excluded: new Set() };

/** Counts how often each target is chosen in a thousand calls. */
function choiceCounts(
  chooser: TargetChooser,
  nowMs: number,
  query = QUERY,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < 1_000; draw += 1) {
    const choice = chooser.choose(query, nowMs);
    const name = choice.kind === 'chosen' ? choice.record.daemonId : choice.reason;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function reportLoad(chooser: TargetChooser, daemonId: string, load: Partial<TargetLoad>): void {
  chooser.recordEnded(daemonId, 'r', { ...IDLE, ...load }, 'served', 0);
}

describe('TargetChooser', () => {
  it('prefers its own zone while it has capacity', () => {
    const chooser = chooserOf({ a: 'near', b: 'far', c: 'far' });
    for (const id of ['a', 'b', 'c']) reportLoad(chooser, id, {});
    expect(choiceCounts(chooser, 0)['a']).toBeGreaterThan(950);
  });

  it('chooses another zone for a target that responds in time', () => {
    const chooser = chooserOf({ slow: 'near', fast: 'far' });
    reportLoad(chooser, 'slow', { routeMs: 90 });
    reportLoad(chooser, 'fast', { routeMs: 30 });
    expect(choiceCounts(chooser, 0)['fast']).toBeGreaterThan(950);
  });

  it('chooses another zone when the targets of its own are full', () => {
    const chooser = chooserOf({ full: 'near', idle: 'far' });
    reportLoad(chooser, 'full', { running: 10, waiting: 10 });
    reportLoad(chooser, 'idle', {});
    expect(choiceCounts(chooser, 0)['idle']).toBeGreaterThan(950);
  });

  it('distributes calls among equal targets and tries a joining one', () => {
    const chooser = chooserOf({ a: 'near', b: 'near', joining: 'near' });
    reportLoad(chooser, 'a', {});
    reportLoad(chooser, 'b', {});
    const counts = choiceCounts(chooser, 0);
    for (const id of ['a', 'b', 'joining']) expect(counts[id]).toBeGreaterThan(200);
  });

  it('tries a target again that was slow a while ago', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    reportLoad(chooser, 'a', {});
    reportLoad(chooser, 'b', { routeMs: 90 });
    expect(choiceCounts(chooser, 0)['b'] ?? 0).toBeLessThan(20);
    chooser.recordEnded('a', 'r', IDLE, 'served', 10_000);
    expect(choiceCounts(chooser, 10_000)['b']).toBeGreaterThan(100);
  });

  it('avoids a target that fails more calls than the others', () => {
    const chooser = chooserOf({ healthy: 'near', failing: 'near' });
    for (let count = 0; count < 10; count += 1) {
      chooser.recordEnded('healthy', 'r', IDLE, 'served', 0);
      chooser.recordEnded('failing', 'r', IDLE, 'failed', 0);
    }
    expect(choiceCounts(chooser, 0)['healthy']).toBeGreaterThan(980);
  });

  it('reports whether another target may succeed where one fails', () => {
    const chooser = chooserOf({ failing: 'near', healthy: 'far' });
    const fail = (id: string) => {
      for (let count = 0; count < 10; count += 1) chooser.recordEnded(id, 'r', IDLE, 'failed', 0);
    };
    fail('failing');
    expect(chooser.hasHealthyTarget('s', 0)).toBe(true);
    fail('healthy');
    expect(chooser.hasHealthyTarget('s', 0)).toBe(false);
    expect(chooser.hasHealthyTarget('s', 10_000)).toBe(true);
  });

  it('stays in its zone when all targets fail alike', () => {
    const chooser = chooserOf({ near: 'near', far: 'far' });
    for (let count = 0; count < 10; count += 1) {
      chooser.recordEnded('near', 'r', IDLE, 'failed', 0);
      chooser.recordEnded('far', 'r', IDLE, 'failed', 0);
    }
    expect(choiceCounts(chooser, 0)['near']).toBeGreaterThan(950);
  });

  it('reports that all targets are full, only for the affected route', () => {
    const chooser = chooserOf({ a: 'near' });
    chooser.markFull('a', 'r', 20);
    expect(choiceCounts(chooser, 0)).toEqual({ full: 1_000 });
    expect(choiceCounts(chooser, 0, { ...QUERY, route: 'other' })).toEqual({ a: 1_000 });
    expect(choiceCounts(chooser, 20)).toEqual({ a: 1_000 });
  });

  it('compares a bounded sample of many targets that includes its own zone', () => {
    const zones: Record<string, string> = {};
    for (let index = 0; index < 40; index += 1) zones[`t${index}`] = index < 4 ? 'near' : 'far';
    const counts = choiceCounts(chooserOf(zones, 8), 0);
    const near = [0, 1, 2, 3].reduce((sum, index) => sum + (counts[`t${index}`] ?? 0), 0);
    expect(near).toBeGreaterThan(900);
  });

  it('averages the levels that homes reported and lets them decay', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    chooser.recordShedLevel('a', 1, 0);
    expect(chooser.shedLevelOf('s', 0)).toBe(0.5);
    expect(chooser.shedLevelOf('s', 10_000)).toBeLessThan(0.01);
  });

  it('weights the levels by the capacity of the homes', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    reportLoad(chooser, 'a', { limit: 0.2, level: 1 });
    reportLoad(chooser, 'b', { limit: 9.8, level: 0 });
    expect(chooser.shedLevelOf('s', 0)).toBeCloseTo(0.02);
  });

  it('sheds nothing for targets that limit their rate while another one has room', () => {
    const notice = { ratePerS: 10, isLeaving: false };
    const chooser = chooserOf({ a: 'near', b: 'near' });
    reportLoad(chooser, 'a', { limit: 0.2, level: 3, notice });
    reportLoad(chooser, 'b', {});
    expect(chooser.shedLevelOf('s', 0)).toBe(0);
    reportLoad(chooser, 'b', { limit: 0.2, level: 1, notice });
    expect(chooser.shedLevelOf('s', 30)).toBeCloseTo(2, 1);
  });

  it('lets a call wait for a rate limit only where all targets have one', () => {
    const notice = { ratePerS: 10, isLeaving: false };
    const chooser = chooserOf({ a: 'near', b: 'far' });
    reportLoad(chooser, 'a', { notice });
    reportLoad(chooser, 'b', {});
    const choose = () => chooser.choose(QUERY, 0);
    expect(choose()).toMatchObject({ record: { daemonId: 'a' }, maxUsefulMs: 50 + IDLE.serviceMs });
    reportLoad(chooser, 'b', { notice });
    expect(choose()).toMatchObject({ record: { daemonId: 'a' }, maxUsefulMs: Infinity });
  });

  it('spares a target that limits its rate, and asks it again after some seconds', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    reportLoad(chooser, 'a', { limit: 0.2 });
    reportLoad(chooser, 'b', {});
    expect(choiceCounts(chooser, 0)['a'] ?? 0).toBeLessThan(10);
    expect(choiceCounts(chooser, 10_000)['a']).toBeGreaterThan(300);
  });

  it('chooses no target that said that it leaves, but its next incarnation', () => {
    const notices = new TargetNoticeTable();
    const chooser = chooserOf({ a: 'near', b: 'near' }, 12, [], notices);
    const leaving = { ratePerS: undefined, isLeaving: true };
    notices.record({ targetId: 'a', bornUnixMs: undefined }, leaving);
    notices.record({ targetId: 'a' }, { ratePerS: undefined, isLeaving: false });
    expect(choiceCounts(chooser, 0)['a']).toBeUndefined();
    notices.record({ targetId: 'b', bornUnixMs: 1 }, leaving);
    expect(notices.isLeaving({ targetId: 'b', bornUnixMs: 2 })).toBe(false);
  });

  it('does not count homes of which nothing is known as homes with room', () => {
    const chooser = chooserOf({ a: 'near', b: 'near', c: 'far' }, 12, ['c']);
    chooser.recordShedLevel('a', 1, 0);
    expect(chooser.shedLevelOf('s', 0)).toBe(0.5);
    chooser.recordShedLevel('c', 1, 0);
    expect(chooser.shedLevelOf('s', 0)).toBeCloseTo(2 / 3);
  });

  it('uses connected homes first, and others when those are the ones that fail', () => {
    const chooser = chooserOf({ a: 'near', b: 'near', lost: 'near' }, 12, ['lost']);
    expect(choiceCounts(chooser, 0)['lost'] ?? 0).toBe(0);
    for (let index = 0; index < 30; index += 1) {
      for (const daemonId of ['a', 'b']) {
        chooser.recordSent(daemonId);
        chooser.recordEnded(daemonId, 'r', IDLE, 'failed', 0);
      }
    }
    expect(choiceCounts(chooser, 0)['lost'] ?? 0).toBeGreaterThan(900);
  });

  // Guards against retries that rest on a share of nested calls from long ago (BUDGET).
  it('does not count a share of nested calls that no home has reported for two windows', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    const load = { ...IDLE, internalShare: 0.9 };
    chooser.recordEnded('a', 'r', load, 'served', 0);
    expect(chooser.internalShareOf('s', 19_999)).toBe(0.9);
    expect(chooser.internalShareOf('s', 20_020)).toBe(0);
  });
});
