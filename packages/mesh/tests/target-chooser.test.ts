import type { TargetLoad } from '@daisyferry/mesh/call';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { TargetChooser, type ChoiceQuery } from '@daisyferry/mesh/target-chooser';
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

/** A generator that is the same in every run. */
function lehmer(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function chooserOf(zones: Readonly<Record<string, string>>, maxCandidates = 12): TargetChooser {
  const directory = new FleetDirectory();
  for (const [daemonId, zone] of Object.entries(zones)) {
    const target = { targetId: daemonId, service: 's', slots: 10, isServing: true, coldMs: 0 };
    const record = {
      daemonId,
      incarnation: 1,
      revision: 1,
      address: 'a:1',
      zone,
      isLeaving: false,
    };
    directory.learn({ ...record, target }, 'stored', 0);
  }
  return new TargetChooser(directory, { ownZone: 'near', maxCandidates }, lehmer(7));
}

const QUERY: ChoiceQuery = { service: 's', route: 'r', usefulMs: 100, excluded: new Set() };

/** How often each target is chosen in a thousand draws. */
function shares(chooser: TargetChooser, nowMs: number, query = QUERY): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < 1_000; draw += 1) {
    const choice = chooser.choose(query, nowMs);
    const name = choice.kind === 'chosen' ? choice.record.daemonId : choice.reason;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function tell(chooser: TargetChooser, daemonId: string, load: Partial<TargetLoad>): void {
  chooser.ended(daemonId, 'r', { ...IDLE, ...load }, 'served', 0);
}

describe('TargetChooser', () => {
  it('stays in its zone while there is room', () => {
    const chooser = chooserOf({ a: 'near', b: 'far', c: 'far' });
    for (const id of ['a', 'b', 'c']) tell(chooser, id, {});
    expect(shares(chooser, 0)['a']).toBeGreaterThan(950);
  });

  it('leaves its zone for a target that answers in time', () => {
    const chooser = chooserOf({ slow: 'near', fast: 'far' });
    tell(chooser, 'slow', { routeMs: 90 });
    tell(chooser, 'fast', { routeMs: 30 });
    expect(shares(chooser, 0)['fast']).toBeGreaterThan(950);
  });

  it('leaves its zone when its targets are full', () => {
    const chooser = chooserOf({ full: 'near', idle: 'far' });
    tell(chooser, 'full', { running: 10, waiting: 10 });
    tell(chooser, 'idle', {});
    expect(shares(chooser, 0)['idle']).toBeGreaterThan(950);
  });

  it('shares calls among equals and tries newcomers', () => {
    const chooser = chooserOf({ a: 'near', b: 'near', newcomer: 'near' });
    tell(chooser, 'a', {});
    tell(chooser, 'b', {});
    const counts = shares(chooser, 0);
    for (const id of ['a', 'b', 'newcomer']) expect(counts[id]).toBeGreaterThan(200);
  });

  it('tries a target again that was slow a while ago', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    tell(chooser, 'a', {});
    tell(chooser, 'b', { routeMs: 90 });
    expect(shares(chooser, 0)['b'] ?? 0).toBeLessThan(20);
    chooser.ended('a', 'r', IDLE, 'served', 10_000);
    expect(shares(chooser, 10_000)['b']).toBeGreaterThan(100);
  });

  it('steers away from a target that fails more than the others', () => {
    const chooser = chooserOf({ good: 'near', grey: 'near' });
    for (let count = 0; count < 10; count += 1) {
      chooser.ended('good', 'r', IDLE, 'served', 0);
      chooser.ended('grey', 'r', IDLE, 'failed', 0);
    }
    expect(shares(chooser, 0)['good']).toBeGreaterThan(980);
  });

  it('tells whether another target may succeed where one fails', () => {
    const chooser = chooserOf({ grey: 'near', good: 'far' });
    const fail = (id: string) => {
      for (let count = 0; count < 10; count += 1) chooser.ended(id, 'r', IDLE, 'failed', 0);
    };
    fail('grey');
    expect(chooser.hasSoundTarget('s', 0)).toBe(true);
    fail('good');
    expect(chooser.hasSoundTarget('s', 0)).toBe(false);
    expect(chooser.hasSoundTarget('s', 10_000)).toBe(true);
  });

  it('does not leave its zone because all targets fail alike', () => {
    const chooser = chooserOf({ near: 'near', far: 'far' });
    for (let count = 0; count < 10; count += 1) {
      chooser.ended('near', 'r', IDLE, 'failed', 0);
      chooser.ended('far', 'r', IDLE, 'failed', 0);
    }
    expect(shares(chooser, 0)['near']).toBeGreaterThan(950);
  });

  it('tells that all are full, for this route only', () => {
    const chooser = chooserOf({ a: 'near' });
    chooser.noteFull('a', 'r', 20);
    expect(shares(chooser, 0)).toEqual({ full: 1_000 });
    expect(shares(chooser, 0, { ...QUERY, route: 'other' })).toEqual({ a: 1_000 });
    expect(shares(chooser, 20)).toEqual({ a: 1_000 });
  });

  it('compares a bounded sample of many targets, its own zone among them', () => {
    const zones: Record<string, string> = {};
    for (let index = 0; index < 40; index += 1) zones[`t${index}`] = index < 4 ? 'near' : 'far';
    const counts = shares(chooserOf(zones, 8), 0);
    const near = [0, 1, 2, 3].reduce((sum, index) => sum + (counts[`t${index}`] ?? 0), 0);
    expect(near).toBeGreaterThan(900);
  });

  it('gives the mean of the levels that homes told, and forgets them', () => {
    const chooser = chooserOf({ a: 'near', b: 'near' });
    chooser.learnLevel('a', 1, 0);
    expect(chooser.levelOf('s', 0)).toBe(0.5);
    expect(chooser.levelOf('s', 10_000)).toBeLessThan(0.01);
  });
});
