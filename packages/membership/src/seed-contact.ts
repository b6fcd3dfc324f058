import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';

const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 30_000;
const CONNECTED_PERIOD_MS = 60_000;
const SEEDS_PER_ATTEMPT = 2;

/**
 * Contacts seeds: with a jittered back-off while no other member is known, and rarely afterwards,
 * so that two clusters that have forgotten each other meet again.
 */
export class SeedContact {
  private seeds: readonly GossipAddress[] = [];

  private nextAtMs = Number.POSITIVE_INFINITY;

  private retryMs = FIRST_RETRY_MS;

  constructor(private readonly random: RandomSource) {}

  use(seeds: readonly GossipAddress[], nowMs: number): void {
    this.seeds = seeds;
    this.nextAtMs = nowMs;
    this.retryMs = FIRST_RETRY_MS;
  }

  /** Seeds to contact now; empty between attempts. */
  due(isConnected: boolean, nowMs: number): readonly GossipAddress[] {
    if (nowMs < this.nextAtMs || this.seeds.length === 0) return [];
    const waitMs = isConnected ? CONNECTED_PERIOD_MS : this.retryMs;
    this.nextAtMs = nowMs + waitMs * (0.5 + this.random());
    this.retryMs = Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
    const first = Math.floor(this.random() * this.seeds.length);
    const count = Math.min(SEEDS_PER_ATTEMPT, this.seeds.length);
    return Array.from(
      { length: count },
      (_, at) => this.seeds[(first + at) % this.seeds.length],
    ).filter((seed) => seed !== undefined);
  }

  get nextDueMs(): number {
    return this.seeds.length === 0 ? Number.POSITIVE_INFINITY : this.nextAtMs;
  }
}
