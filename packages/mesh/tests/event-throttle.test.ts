import { EventThrottle } from '@daisyferry/mesh/event-throttle';
import { expect, it } from 'vitest';

it('lets one event of a burst pass in each interval', () => {
  const throttle = new EventThrottle(3_000);
  const passed: number[] = [];
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) if (throttle.passes(nowMs)) passed.push(nowMs);
  expect(passed).toEqual([0, 3_000, 6_000, 9_000]);
});
