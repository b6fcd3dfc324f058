import { describe, expect, it } from 'vitest';
import { CALL_CLASS_NAMES, callClassName, callClassRank, moreCritical } from '../src/call-class';

describe('call class', () => {
  it.each(CALL_CLASS_NAMES.map((name, rank) => ({ name, rank })))(
    '$name has rank $rank',
    ({ name, rank }) => {
      expect(callClassRank(name)).toBe(rank);
      expect(callClassName(rank)).toBe(name);
    },
  );

  it('returns undefined for an unknown name or rank', () => {
    expect(callClassRank('toString')).toBeUndefined();
    expect(callClassName(4)).toBeUndefined();
  });

  it('inherits the more critical class', () => {
    expect(moreCritical(2, 0)).toBe(0);
  });
});
