import { streamSeed } from '@daisyferry/bench/random';
import { requestRank } from '@daisyferry/mesh/request-rank';
import { describe, expect, it } from 'vitest';
import type { FakeFreshnessDaemon } from './support/fake-freshness-daemon';
import { FakeFreshnessFleet } from './support/fake-freshness-fleet';

/** Bound of the deployments. */
const APPLY_MS = 2_000;
const SETTLE_MS = 4_000;
const STEP_MS = 20;
/** Longest time between the strike and the change. */
const STRIKE_BEFORE_MS = 500;
const SEEDS = Array.from({ length: 60 }, (_, index) => index + 1);
const MS_PER_SECOND = 1_000;
/** Daemons of a large data centre. */
const LARGE = 60;
const OBSERVED_MS = 10_000;

type Strike = (fleet: FakeFreshnessFleet) => void;

function followersOf({ daemons }: FakeFreshnessFleet): FakeFreshnessDaemon[] {
  const followers = daemons.filter(({ isFollower }) => isFollower);
  return followers.sort((a, b) => requestRank(a.daemonId) - requestRank(b.daemonId));
}

function freeze(daemons: readonly FakeFreshnessDaemon[]): void {
  for (const daemon of daemons) daemon.isFrozen = true;
}

function startFleet(seed: number, daemonsOfEach: number): FakeFreshnessFleet {
  const fleet = FakeFreshnessFleet.ofThreeDataCentres(daemonsOfEach, streamSeed(seed, 'change'));
  fleet.applyMs = APPLY_MS;
  fleet.stepMs = STEP_MS;
  for (const daemon of fleet.daemons) daemon.reportChanges();
  return fleet;
}

function drawMs({ random }: FakeFreshnessFleet, maxMs: number): number {
  return Math.round((random() * maxMs) / STEP_MS) * STEP_MS;
}

/**
 * Time after which the last daemon in touch applies a change that no watch tells of. Strike and
 * change come at moments that depend on the seed.
 */
async function timeInForceMs(seed: number, daemonsOfEach: number, strike: Strike): Promise<number> {
  const fleet = startFleet(seed, daemonsOfEach);
  await fleet.run(SETTLE_MS + drawMs(fleet, MS_PER_SECOND));
  strike(fleet);
  await fleet.run(drawMs(fleet, STRIKE_BEFORE_MS));
  fleet.storeVersion = 2;
  const acceptedMs = fleet.nowMs;
  const inTouch = fleet.daemons.filter(({ isFrozen, isCut }) => !isFrozen && !isCut);
  const waiting = new Set(inTouch);
  let lastMs = 0;
  await fleet.run(APPLY_MS * 2, () => {
    for (const daemon of waiting) {
      if (daemon.configuration.version === 2) {
        waiting.delete(daemon);
        lastMs = fleet.nowMs - acceptedMs;
      }
    }
  });
  return waiting.size > 0 ? Number.POSITIVE_INFINITY : lastMs;
}

const STRIKES: readonly (readonly [name: string, strike: Strike])[] = [
  ['nothing else fails', () => undefined],
  ['the leading follower is frozen', (fleet) => freeze(followersOf(fleet).slice(0, 1))],
  ['two followers are frozen', (fleet) => freeze(followersOf(fleet).slice(0, 2))],
  ['all followers are frozen', (fleet) => freeze(followersOf(fleet))],
  [
    'all followers are cut off',
    (fleet) => {
      for (const daemon of followersOf(fleet)) daemon.isCut = true;
    },
  ],
  [
    'the store turns all followers away',
    (fleet) => {
      for (const daemon of followersOf(fleet)) daemon.storeAnswers = false;
    },
  ],
  [
    'the store answers every third daemon',
    ({ daemons }) => {
      for (const [index, daemon] of daemons.entries()) daemon.storeAnswers = index % 3 === 1;
    },
  ],
  [
    'half of the daemons are frozen',
    (fleet) => freeze(fleet.daemons.filter((_, index) => index % 2 === 0)),
  ],
];

describe('a change that no watch tells of', () => {
  it.each(STRIKES)('is in force in time while %s', async (_name, strike) => {
    const timesMs: number[] = [];
    for (const seed of SEEDS) timesMs.push(await timeInForceMs(seed, 2 + (seed % 5), strike));
    expect(Math.max(...timesMs)).toBeLessThanOrEqual(APPLY_MS);
  });

  it.each(STRIKES)('is in force in time in large data centres while %s', async (_name, strike) => {
    expect(await timeInForceMs(1, LARGE, strike)).toBeLessThanOrEqual(APPLY_MS);
  });
});

describe('daemons whose watches hear nothing', () => {
  it.each([2, 5, LARGE])('know its age by one read a second, %i in a data centre', async (size) => {
    const fleet = startFleet(1, size);
    await fleet.run(SETTLE_MS);
    fleet.readCount = 0;
    let maxAgeMs = 0;
    await fleet.run(OBSERVED_MS, () => {
      maxAgeMs = Math.max(maxAgeMs, ...fleet.daemons.map(({ keeper }) => keeper.ageMs()));
    });
    expect(maxAgeMs).toBeLessThan(APPLY_MS);
    expect((fleet.readCount / OBSERVED_MS) * MS_PER_SECOND).toBeLessThanOrEqual(1.1);
  });
});
