import { RecentMaximum } from '@daisyferry/mesh/recent-maximum';
import { expect, it } from 'vitest';

it('keeps the greatest value for at least one window and at most two', () => {
  const maximum = new RecentMaximum(100);
  expect(maximum.record(195, 0)).toBe(195);
  expect(maximum.record(20, 99)).toBe(195);
  expect(maximum.record(20, 150)).toBe(195);
  expect(maximum.record(20, 250)).toBe(20);
});
