import { RouteCallerCounter } from '@daisyferry/mesh/route-caller-counter';
import { describe, expect, it } from 'vitest';

function counterOf(calls: readonly (readonly [string, string, number])[]): RouteCallerCounter {
  const counter = new RouteCallerCounter();
  for (const [route, service, count] of calls) {
    for (let index = 0; index < count; index += 1) counter.recordCall(route, service, 0);
  }
  return counter;
}

const CALLS_OF_ALL_SERVICES = ['a', 'b', 'c', 'd'].map((service) => ['root', service, 50] as const);

describe('RouteCallerCounter', () => {
  it.each([
    ['called by one service', [['r', 'a', 200]], true],
    [
      'called by two of four',
      [
        ['r', 'a', 150],
        ['r', 'b', 50],
      ],
      true,
    ],
    [
      'called by three of four',
      [
        ['r', 'a', 90],
        ['r', 'b', 60],
        ['r', 'c', 50],
      ],
      false,
    ],
    [
      'with a few calls of other services',
      [
        ['r', 'a', 200],
        ['r', 'b', 2],
        ['r', 'c', 2],
      ],
      true,
    ],
    ['with too few calls', [['r', 'a', 99]], undefined],
  ] as const)('classifies a route %s', (_name, calls, expected) => {
    expect(counterOf([...CALLS_OF_ALL_SERVICES, ...calls]).isInternal('r')).toBe(expected);
  });

  it('reports the share of calls on internal routes', () => {
    expect(counterOf([...CALLS_OF_ALL_SERVICES, ['r', 'a', 600]]).internalShare(0)).toBe(0.75);
  });

  it('classifies no route as internal if there is only one calling service', () => {
    expect(counterOf([['r', 'a', 200]]).isInternal('r')).toBe(false);
  });

  // Guards against retries that rest on nested calls which have ended (BUDGET).
  describe('after nested calls have moved to another service', () => {
    const MOVED_AT_MS = 40_000;

    /** 600 nested calls and 20 requests of callers a second, from `nestedMs` on the latter alone. */
    function counterAfter(nestedMs: number, untilMs: number): RouteCallerCounter {
      const counter = counterOf(CALLS_OF_ALL_SERVICES);
      for (let nowMs = 0; nowMs < untilMs; nowMs += 50) {
        counter.recordCall('root', 'abcd'.charAt((nowMs / 50) % 4), nowMs);
        for (let call = 0; nowMs < nestedMs && call < 30; call += 1)
          counter.recordCall('nested', 'a', nowMs);
      }
      return counter;
    }

    it.each([6_000, MOVED_AT_MS, 600_000])(
      'reports none of them after two windows of the bound, when they lasted for %i ms',
      (nestedMs) => {
        const counter = counterAfter(nestedMs, nestedMs + 20_000);
        expect(counter.internalShare(nestedMs + 20_000)).toBe(0);
        expect(counterAfter(nestedMs, nestedMs).internalShare(nestedMs)).toBeGreaterThan(0.9);
      },
    );

    it('reports no greater share than the window with most of them had', () => {
      for (let sinceMs = 0; sinceMs <= 20_000; sinceMs += 2_000) {
        const nowMs = MOVED_AT_MS + sinceMs;
        const callsPerS = 20;
        const nested = Math.max(0, 20_000 - sinceMs) * 0.6;
        const expected = nested / (nested + 20 * callsPerS);
        expect(counterAfter(MOVED_AT_MS, nowMs).internalShare(nowMs)).toBeLessThan(expected + 0.02);
      }
    });
  });

  it('classifies a route by its recent callers, and not by those of an hour before', () => {
    const counter = counterOf([...CALLS_OF_ALL_SERVICES, ['r', 'a', 100_000]]);
    for (let nowMs = 3_600_000; nowMs < 3_660_000; nowMs += 10)
      counter.recordCall('r', 'abcd'.charAt((nowMs / 10) % 4), nowMs);
    expect(counter.isInternal('r')).toBe(false);
  });

  it('does not count services that have not called for long among the callers', () => {
    const counter = counterOf(CALLS_OF_ALL_SERVICES);
    for (let nowMs = 0; nowMs < 1_300_000; nowMs += 1_000) {
      counter.recordCall('r', 'a', nowMs);
      counter.recordCall('q', 'b', nowMs);
    }
    expect([counter.isInternal('r'), counter.isInternal('root')]).toEqual([true, undefined]);
    for (let nowMs = 1_300_000; nowMs < 2_600_000; nowMs += 1_000)
      counter.recordCall('r', 'a', nowMs);
    expect(counter.isInternal('r')).toBe(false);
  });
});
