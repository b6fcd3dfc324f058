import { CallerTally } from '@daisyferry/mesh/caller-tally';
import { describe, expect, it } from 'vitest';

function tallyOf(calls: readonly (readonly [string, string, number])[]): CallerTally {
  const tally = new CallerTally();
  for (const [route, service, count] of calls) {
    for (let index = 0; index < count; index += 1) tally.record(route, service);
  }
  return tally;
}

const EVERYWHERE = ['a', 'b', 'c', 'd'].map((service) => ['root', service, 50] as const);

describe('CallerTally', () => {
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
      'with a few stray callers',
      [
        ['r', 'a', 200],
        ['r', 'b', 2],
        ['r', 'c', 2],
      ],
      true,
    ],
    ['with too few calls', [['r', 'a', 99]], undefined],
  ] as const)('judges a route %s', (_name, calls, expected) => {
    expect(tallyOf([...EVERYWHERE, ...calls]).isInternal('r')).toBe(expected);
  });

  it('tells the share of calls on internal routes', () => {
    expect(tallyOf([...EVERYWHERE, ['r', 'a', 600]]).internalShare).toBe(0.75);
  });

  it('takes no route for internal where one service is all there is', () => {
    expect(tallyOf([['r', 'a', 200]]).isInternal('r')).toBe(false);
  });
});
