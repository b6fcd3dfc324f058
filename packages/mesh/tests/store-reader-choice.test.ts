import { requestRank } from '@daisyferry/mesh/request-rank';
import {
  StoreReaderChoice,
  StoreReading,
  type StoreReadingName,
} from '@daisyferry/mesh/store-reader-choice';
import { describe, expect, it } from 'vitest';

const TICK_MS = 200;

/** Daemons of one data centre that are all connected to each other. */
class DataCentre {
  readonly daemonIds: readonly string[];

  /** Daemons whose reads of the store fail. */
  refused = new Set<string>();

  reading = new Set<string>();

  nowMs = 0;

  private readonly choices: ReadonlyMap<string, StoreReaderChoice>;

  constructor(
    size: number,
    private readonly isSingle = true,
  ) {
    const ids = Array.from({ length: size }, (_, index) => `daemon-${index}`);
    this.daemonIds = ids.sort((left, right) => requestRank(left) - requestRank(right));
    this.choices = new Map(ids.map((id) => [id, new StoreReaderChoice(id, () => 0.5)]));
  }

  /** Lets all daemons decide for some time; returns how many tried to read at most. */
  run(durationMs: number): number {
    const tried = new Set<string>();
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += TICK_MS) {
      const followers = this.daemonIds.filter((id) => this.decide(id) === StoreReading.follow);
      for (const id of followers) tried.add(id);
      this.reading = new Set(followers.filter((id) => !this.refused.has(id)));
    }
    return tried.size;
  }

  private decide(ownId: string): StoreReadingName | undefined {
    const peers = this.daemonIds
      .filter((id) => id !== ownId)
      .map((daemonId) => ({ daemonId, isReading: this.reading.has(daemonId) }));
    return this.choices.get(ownId)?.decide(peers, this.isSingle, this.nowMs);
  }
}

describe('StoreReaderChoice', () => {
  it.each([2, 5, 32, 200])('lets two of %i connected daemons follow the store', (size) => {
    const dataCentre = new DataCentre(size);
    expect(dataCentre.run(10_000)).toBe(2);
    expect([...dataCentre.reading]).toEqual(dataCentre.daemonIds.slice(0, 2));
  });

  it('lets one daemon of each of several data centres follow the store', () => {
    const dataCentre = new DataCentre(32, false);
    expect(dataCentre.run(10_000)).toBe(1);
  });

  it('replaces readers that the store refuses within three seconds, and only as many as needed', () => {
    const dataCentre = new DataCentre(32);
    dataCentre.run(5_000);
    dataCentre.refused = new Set(dataCentre.daemonIds.slice(0, 6));
    const tried = dataCentre.run(3_000);
    expect(dataCentre.reading.size).toBeGreaterThan(0);
    expect(tried).toBeLessThanOrEqual(10);
    dataCentre.refused.clear();
    dataCentre.run(2_000);
    expect([...dataCentre.reading]).toEqual(dataCentre.daemonIds.slice(0, 2));
  });

  it('lets daemons that know none search one after the other', () => {
    const firstSearches = Array.from({ length: 200 }, (_, index) => {
      const choice = new StoreReaderChoice(`daemon-${index}`, () => 0.5);
      let nowMs = 0;
      while (choice.decide([], true, nowMs) !== StoreReading.once) nowMs += TICK_MS;
      return nowMs;
    });
    expect(Math.min(...firstSearches)).toBeGreaterThanOrEqual(600);
    expect(Math.max(...firstSearches)).toBeLessThanOrEqual(2_800);
    expect(firstSearches.filter((atMs) => atMs <= 800).length).toBeLessThan(50);
  });

  it('searches for others while it knows none, and follows the store when it stays alone', () => {
    const choice = new StoreReaderChoice('a', () => 0.5);
    const decisions = new Map<number, StoreReadingName>();
    for (let nowMs = 0; nowMs < 5_000; nowMs += TICK_MS)
      decisions.set(nowMs, choice.decide([], true, nowMs));
    const searches = [...decisions.values()].filter((each) => each === StoreReading.once);
    expect(searches.length).toBeGreaterThanOrEqual(1);
    expect(searches.length).toBeLessThanOrEqual(3);
    expect(decisions.get(3_800)).not.toBe(StoreReading.follow);
    expect(decisions.get(4_000)).toBe(StoreReading.follow);
  });
});
