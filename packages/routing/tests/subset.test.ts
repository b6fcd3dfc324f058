import { describe, expect, it } from 'vitest';
import { permutedSubset } from '../src/subset';

describe('permuted subset', () => {
  it('gives every caller distinct targets', () => {
    for (let caller = 0; caller < 50; caller += 1) {
      expect(new Set(permutedSubset(caller, 23, 5)).size).toBe(5);
    }
  });
});
