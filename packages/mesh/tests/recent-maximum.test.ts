import { RecentMaximum } from '@daisyferry/mesh/recent-maximum';
import { expect, it } from 'vitest';

it('keeps the greatest value for at least one window and at most two', () => {
  const maximum = new RecentMaximum(100);
  expect(maximum.record(195, 0)).toBe(195);
  expect(maximum.record(20, 99)).toBe(195);
  expect(maximum.record(20, 150)).toBe(195);
  expect(maximum.record(20, 250)).toBe(20);
});

it('tells the value without recording one', () => {
  const maximum = new RecentMaximum(100);
  expect(maximum.value(0)).toBe(0);
  maximum.record(195, 0);
  expect([50, 150, 200].map((nowMs) => maximum.value(nowMs))).toEqual([195, 195, 0]);
});

// Guards against a smaller fleet than a moment ago that counts as soon as somebody asks again.
it('still counts the last value when one is recorded after a long pause', () => {
  const maximum = new RecentMaximum(100);
  maximum.record(195, 0);
  expect(maximum.record(20, 1_000)).toBe(195);
});
