import { describe, expect, it } from 'vitest';
import { RetryPurse } from '../src/retry-purse';

describe('retry purse', () => {
  it('never takes back more than it granted', () => {
    const purse = new RetryPurse(3);
    const granted = purse.grant();
    expect(granted).toBe(2);
    purse.giveBack(100, granted);
    purse.giveBack(2, granted);
    expect(purse.available).toBe(3);
  });
});
