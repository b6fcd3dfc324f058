import { RouteCallerCounter } from '@daisyferry/mesh/route-caller-counter';
import { describe, expect, it } from 'vitest';

function counterOf(calls: readonly (readonly [string, string, number])[]): RouteCallerCounter {
  const counter = new RouteCallerCounter();
  for (const [route, service, count] of calls) {
    for (let index = 0; index < count; index += 1) counter.recordCall(route, service);
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
    expect(counterOf([...CALLS_OF_ALL_SERVICES, ['r', 'a', 600]]).internalShare).toBe(0.75);
  });

  it('classifies no route as internal if there is only one calling service', () => {
    expect(counterOf([['r', 'a', 200]]).isInternal('r')).toBe(false);
  });
});
