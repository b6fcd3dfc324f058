import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';
import { unsafeUniformIntDistribution } from 'pure-rand/distribution/UnsafeUniformIntDistribution';
import { describe, expect, it } from 'vitest';
import type { TargetResult } from '../src/target-health';
import { TargetPicker, type TargetPickerOptions } from '../src/target-picker';
import { FakeDirectory, type FakeTarget } from './fake-directory';

const SEED = 11;
const NONE_EXCLUDED: ReadonlySet<string> = new Set();
const SELF = { name: 'teller-1', incarnation: 'f'.repeat(16) };

function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  const range = 1_000_000;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

function pickerFor(directory: FakeDirectory, options: Partial<TargetPickerOptions> = {}) {
  return new TargetPicker({
    self: SELF,
    dataCentre: 'quiapo',
    region: 'ncr',
    directory,
    random: seededRandom(SEED),
    subsetSize: 20,
    ...options,
  });
}

function countPicks(picker: TargetPicker, nowMs: number, count = 200): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const name = picker.pick('vault', NONE_EXCLUDED, nowMs)?.id.name ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

function failCall(picker: TargetPicker, name: string, nowMs: number): void {
  picker.started(name, nowMs);
  picker.finished(name, 'connect-failed', nowMs);
}

const THREE_TARGETS: readonly FakeTarget[] = [{ name: 'a' }, { name: 'b' }, { name: 'c' }];

describe('TargetPicker', () => {
  it.each([
    { title: 'leaving', other: { state: 'leaving' } },
    { title: 'absent', other: { state: 'absent' } },
    { title: 'suspect', other: { reachability: 'suspect' } },
    { title: 'in another region', other: { dataCentre: 'kennebec', region: 'new-england' } },
    { title: 'in another data centre', other: { dataCentre: 'makati' } },
  ] as const)('prefers a healthy near target to one that is $title', ({ other }) => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a', ...other }, { name: 'b' }]));
    expect([...countPicks(picker, 0).keys()]).toEqual(['b']);
  });

  it.each([
    { title: 'a suspect target', target: { reachability: 'suspect' }, expected: 'a' },
    { title: 'a distant target', target: { dataCentre: 'x', region: 'y' }, expected: 'a' },
    { title: 'a leaving target', target: { state: 'leaving' }, expected: undefined },
  ] as const)('picks $expected when $title is the only one', ({ target, expected }) => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a', ...target }]));
    expect(picker.pick('vault', NONE_EXCLUDED, 0)?.id.name).toBe(expected);
  });

  it('picks the less loaded target, and a distant one when the near ones are much more loaded', () => {
    const picker = pickerFor(
      new FakeDirectory([{ name: 'a' }, { name: 'b' }, { name: 'far', dataCentre: 'makati' }]),
    );
    picker.observeLoad('a', 0.9, 0);
    expect([...countPicks(picker, 0).keys()]).toEqual(['b']);
    picker.observeLoad('a', 5, 0);
    picker.observeLoad('b', 4, 0);
    expect([...countPicks(picker, 0).keys()]).toEqual(['far']);
  });

  it('drops a published load within a second, and ignores NaN', () => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a' }, { name: 'b' }]));
    picker.observeLoad('a', Number.NaN, 0);
    picker.observeLoad('a', 50, 0);
    expect([...countPicks(picker, 999).keys()]).toEqual(['b']);
    expect(countPicks(picker, 1_001).size).toBe(2);
  });

  it('avoids a failed target, then probes it once, then uses it again', () => {
    const picker = pickerFor(new FakeDirectory(THREE_TARGETS));
    failCall(picker, 'a', 0);
    expect(countPicks(picker, 1).has('a')).toBe(false);
    expect(countPicks(picker, 200).has('a')).toBe(true);
    picker.started('a', 200);
    expect(countPicks(picker, 201).has('a')).toBe(false);
    picker.finished('a', 'answered', 202);
    expect(countPicks(picker, 202).has('a')).toBe(true);
  });

  it('avoids a failed target even if its published load is zero', () => {
    const picker = pickerFor(new FakeDirectory(THREE_TARGETS));
    picker.observeLoad('b', 1, 0);
    picker.observeLoad('c', 1, 0);
    picker.observeLoad('a', 0, 0);
    failCall(picker, 'a', 0);
    expect(countPicks(picker, 1).has('a')).toBe(false);
  });

  it('picks a target with a very high published load when there is no other', () => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a' }]));
    picker.observeLoad('a', 1e9, 0);
    expect([...countPicks(picker, 0).keys()]).toEqual(['a']);
  });

  it('does not probe with a call that must not probe while there is another target', () => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a' }, { name: 'b' }]));
    failCall(picker, 'a', 0);
    const names = Array.from(
      { length: 100 },
      () => picker.pick('vault', NONE_EXCLUDED, 5_000, { mayProbe: false })?.id.name,
    );
    expect(new Set(names)).toEqual(new Set(['b']));
    const only = picker.pick('vault', new Set(['b']), 5_000, { mayProbe: false });
    expect(only?.id.name).toBe('a');
  });

  it('doubles the backoff after each failed probe, but not for calls lost together', () => {
    const picker = pickerFor(new FakeDirectory([{ name: 'a' }]));
    const avoidedForMs = (nowMs: number) => picker.snapshot(nowMs)[0]?.avoidedForMs ?? 0;
    for (let call = 0; call < 30; call += 1) picker.started('a', 0);
    for (let call = 0; call < 30; call += 1) picker.finished('a', 'lost', 0);
    expect(avoidedForMs(0)).toBeLessThan(130);
    let nowMs = 0;
    for (let probe = 0; probe < 12; probe += 1) {
      nowMs += 20_000;
      failCall(picker, 'a', nowMs);
    }
    expect(avoidedForMs(nowMs)).toBeGreaterThan(7_000);
    expect(avoidedForMs(nowMs)).toBeLessThan(13_000);
  });

  it('discards the health of a target that was replaced under the same name', () => {
    const directory = new FakeDirectory(THREE_TARGETS);
    const picker = pickerFor(directory);
    failCall(picker, 'a', 0);
    directory.setTargets([
      { name: 'a', incarnation: '1'.repeat(16) },
      { name: 'b' },
      { name: 'c' },
    ]);
    expect(countPicks(picker, 1).has('a')).toBe(true);
  });

  it('picks outside its subset when no target of it is reachable', () => {
    const many = Array.from({ length: 40 }, (_, index) => ({ name: `t-${index + 10}` }));
    const picker = pickerFor(new FakeDirectory(many), { subsetSize: 3 });
    const subset = [...countPicks(picker, 0).keys()];
    expect(subset).toHaveLength(3);
    for (const name of subset) failCall(picker, name, 0);
    const beyond = [...countPicks(picker, 1).keys()];
    expect(beyond.some((name) => subset.includes(name) || name === 'none')).toBe(false);
  });

  it('shares the connections of a target among its callers', () => {
    const many = Array.from({ length: 40 }, (_, index) => ({ name: `t-${index + 10}` }));
    const directory = new FakeDirectory(many);
    const picker = pickerFor(directory, { subsetSize: 10 });
    const member = directory.memberNamed('t-10')?.member;
    expect(member && picker.connectionsAllowed(member, 40)).toBe(10);
    expect(member && picker.connectionsAllowed(member, 100_000)).toBe(1);
  });

  it.each([
    { mechanism: 'leastLoaded', expected: 2 },
    { mechanism: 'none', expected: 1 },
  ])('uses $expected of two targets with $mechanism switched off', ({ mechanism, expected }) => {
    const directory = new FakeDirectory([{ name: 'a' }, { name: 'b' }]);
    const picker = pickerFor(directory, { disabled: new Set([mechanism]) });
    picker.observeLoad('a', 0.9, 0);
    expect(countPicks(picker, 0).size).toBe(expected);
  });

  it('keeps picking a failed target with avoidance switched off', () => {
    const disabled = new Set(['avoidance']);
    const picker = pickerFor(new FakeDirectory(THREE_TARGETS), { disabled });
    failCall(picker, 'a', 0);
    expect(countPicks(picker, 1).has('a')).toBe(true);
  });

  it('always finds an untried target that accepts calls, whatever happened before', () => {
    const names = ['a', 'b', 'c', 'd'];
    const step = fc.record({
      name: fc.constantFrom(...names),
      result: fc.constantFrom<TargetResult>(
        'answered',
        'refused',
        'connect-failed',
        'lost',
        'cancelled',
      ),
      afterMs: fc.integer({ min: 0, max: 3_000 }),
      load: fc.double({ min: -1, max: 5 }),
    });
    const excluded = fc.subarray(names);
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 30 }),
        excluded,
        fc.boolean(),
        (steps, tried, probe) => {
          const picker = pickerFor(new FakeDirectory(names.map((name) => ({ name }))));
          let nowMs = 0;
          for (const { name, result, afterMs, load } of steps) {
            nowMs += afterMs;
            picker.started(name, nowMs);
            picker.observeLoad(name, load, nowMs);
            picker.finished(name, result, nowMs);
          }
          const found = picker.pick('vault', new Set(tried), nowMs, { mayProbe: probe });
          expect(found === undefined).toBe(tried.length === names.length);
          expect(tried).not.toContain(found?.id.name);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });
});
