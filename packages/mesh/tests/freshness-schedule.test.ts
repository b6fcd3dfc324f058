import {
  FreshnessSchedule,
  ReadingRole,
  type FreshnessNeed,
} from '@daisyferry/mesh/freshness-schedule';
import { describe, expect, it } from 'vitest';

const BOUND_MS = 2_000;
const LACKING: FreshnessNeed = {
  ageMs: Number.POSITIVE_INFINITY,
  boundMs: BOUND_MS,
  role: ReadingRole.none,
  fleetSize: () => 13,
};

/** Times at which a daemon that knows nothing reads the store, of which none is answered. */
function failedReadsMs(need: FreshnessNeed, untilMs: number): number[] {
  const schedule = new FreshnessSchedule(() => 0.5);
  const readsMs: number[] = [];
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 100) {
    if (schedule.shouldRead(need, nowMs)) {
      readsMs.push(nowMs);
      schedule.recordResult(false);
    }
  }
  return readsMs;
}

describe('FreshnessSchedule', () => {
  it('lets a starting daemon hear its peers before it reads the store', () => {
    expect(failedReadsMs(LACKING, 3_000)).toEqual([2_700]);
  });

  it('leaves a store that does not answer to the daemons that follow it', () => {
    expect(failedReadsMs(LACKING, 60_000).length).toBeLessThanOrEqual(6);
    const following = failedReadsMs({ ...LACKING, role: ReadingRole.follow }, 60_000);
    expect(following.length).toBeGreaterThanOrEqual(60);
    expect(following.length).toBeLessThanOrEqual(61);
  });

  it('reads for all followers first, and for itself when their reports fail to come', () => {
    const schedule = new FreshnessSchedule(() => 0.5);
    const isRead = (role: FreshnessNeed['role'], ageMs: number, nowMs: number) =>
      schedule.shouldRead({ ...LACKING, role, ageMs }, nowMs);
    expect(isRead(ReadingRole.follow, 1_200, 10_000)).toBe(false);
    expect(isRead(ReadingRole.lead, 1_000, 10_000)).toBe(true);
    expect(isRead(ReadingRole.follow, 1_300, 20_000)).toBe(true);
    expect(isRead(ReadingRole.none, 1_400, 30_000)).toBe(false);
  });
});
