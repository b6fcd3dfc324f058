import { CarriedIds } from '@daisyferry/sidecar/carried-ids';
import { randomBytes } from 'node:crypto';
import { describe, expect, it } from 'vitest';

const OTHERS = 20_000;
const MAX_FALSE_SHARE = 0.01;

function randomId(): string {
  return randomBytes(8).toString('hex');
}

describe('CarriedIds', () => {
  it('has each id that was added, and takes few others for one of them', () => {
    const carried = new CarriedIds();
    const ids = Array.from({ length: CarriedIds.MAX_IDS - 1 }, randomId);
    ids.push('x'.repeat(16_000));
    for (const id of ids) {
      carried.add(id);
      expect(carried.has(id)).toBe(true);
    }
    expect(ids.every((id) => carried.has(id))).toBe(true);
    const others = Array.from({ length: OTHERS }, randomId).filter((id) => carried.has(id));
    expect(others.length).toBeLessThan(OTHERS * MAX_FALSE_SHARE);
  });

  it('tells numbered ids apart', () => {
    const carried = new CarriedIds();
    for (let number = 0; number < CarriedIds.MAX_IDS; number += 1) carried.add(`r${number}`);
    let others = 0;
    for (let number = 0; number < OTHERS; number += 1) if (carried.has(`s${number}`)) others += 1;
    expect(others).toBeLessThan(OTHERS * MAX_FALSE_SHARE);
  });
});
