import type { RandomSource } from '@daisyferry/model/scheduler';
import type { GossipAddress } from './gossip-effect';

const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 30_000;
const CONNECTED_PERIOD_MS = 60_000;
const SEEDS_PER_ATTEMPT = 2;

/**
 * Contacts seeds: with a jittered backoff while no other member is known, and infrequently
 * afterwards, so that partitions that removed each other's members merge again.
 */
export class SeedContact {
  private seeds: readonly GossipAddress[] = [];

  private nextAtMs = Number.POSITIVE_INFINITY;

  private retryDelayMs = FIRST_RETRY_DELAY_MS;

  constructor(private readonly random: RandomSource) {}

  setSeeds(seeds: readonly GossipAddress[], nowMs: number): void {
    this.seeds = seeds;
    this.nextAtMs = nowMs;
    this.retryDelayMs = FIRST_RETRY_DELAY_MS;
  }

  /** Returns the seeds to contact now; empty between attempts. */
  takeDue(isConnected: boolean, nowMs: number): readonly GossipAddress[] {
    if (nowMs < this.nextAtMs || this.seeds.length === 0) return [];
    const waitMs = isConnected ? CONNECTED_PERIOD_MS : this.retryDelayMs;
    this.nextAtMs = nowMs + waitMs * (0.5 + this.random());
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
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
