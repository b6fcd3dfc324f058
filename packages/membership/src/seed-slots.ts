import { isIP } from 'node:net';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { KeyValueStore, StoredValue } from '@daisyferry/store/key-value-store';
import { z } from 'zod';
import type { GossipAddress } from './gossip-effect';

/** Seed slots of one data centre. */
export const SEED_SLOTS_PER_DATA_CENTRE = 3;

const LEASE_TTL_SECONDS = 60;
const MS_PER_SECOND = 1_000;
const RENEW_AFTER_MS = 20_000;
/** A lease counts as held for so much less than the store grants. */
const LEASE_MARGIN_MS = 5_000;
/** One daemon of a data centre looks for free slots in each such interval, on average. */
const VACANCY_CHECK_PERIOD_MS = 30_000;
const FIRST_RETRY_MS = 1_000;
const LONGEST_RETRY_MS = 60_000;
const MAX_SEEDS_READ = 256;

const slotSchema = z.strictObject({
  holder: z.string(),
  address: z.string().refine((text) => isIP(text) !== 0),
  port: z.int().min(1).max(65_535),
});

export interface SeedSlotsOptions {
  readonly store: KeyValueStore;
  readonly cluster: string;
  readonly dataCentre: string;
  /** Name and incarnation of this daemon; tells its own slot from another's. */
  readonly holder: string;
  readonly timeoutMs: number;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Members of the data centre; spreads the checks for free slots over them. */
  readonly dataCentreMembers: () => number;
}

/** Calls to the store since the start. */
export interface SeedSlotCounters {
  reads: number;
  writes: number;
  failures: number;
}

interface HeldSlot {
  readonly key: string;
  readonly leaseId: string;
  readonly validUntilMs: number;
}

/** Result of reading the seeds; `reachable` is false while the store does not answer. */
export interface SeedsRead {
  readonly reachable: boolean;
  readonly seeds: readonly GossipAddress[];
}

function validUntil(askedAtMs: number, remainingSeconds: number): number {
  return askedAtMs + remainingSeconds * MS_PER_SECOND - LEASE_MARGIN_MS;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * A bounded number of leased keys per data centre in the store, by which newcomers find peers.
 * Holders renew; the other daemons of the data centre look for free slots so rarely that their
 * checks together come at a fixed rate.
 */
export class SeedSlots {
  readonly counters: SeedSlotCounters = { reads: 0, writes: 0, failures: 0 };

  private held: HeldSlot | undefined;

  private retryMs = FIRST_RETRY_MS;

  constructor(private readonly options: SeedSlotsOptions) {}

  /**
   * True while this daemon certainly holds a slot by its own clock: the time is counted from before
   * the last renewal was sent, so that a holder that was paused knows that its lease has lapsed.
   */
  holdsSlot(nowMs: number): boolean {
    return this.held !== undefined && nowMs < this.held.validUntilMs;
  }

  /** Reads the seeds of the own data centre, or of all when it has none. */
  async readSeeds(): Promise<SeedsRead> {
    const own = await this.range(this.prefix(this.options.dataCentre));
    if (own === undefined) return { reachable: false, seeds: [] };
    const seeds = this.addressesIn(own);
    if (seeds.length > 0) return { reachable: true, seeds };
    const all = await this.range(this.prefix());
    return { reachable: all !== undefined, seeds: this.addressesIn(all ?? []) };
  }

  /** Renews the slot held, or takes a free one; resolves to the time until the next step. */
  async step(self: GossipAddress): Promise<number> {
    if (this.held !== undefined) return this.renew(this.held);
    return this.tryTake(self);
  }

  /** Gives the slot back. */
  async release(): Promise<void> {
    const { held } = this;
    this.held = undefined;
    if (held === undefined) return;
    this.counters.writes += 1;
    await this.options.store.revokeLease(held.leaseId, this.options.timeoutMs);
  }

  private async renew(held: HeldSlot): Promise<number> {
    const askedAtMs = this.options.nowMs();
    this.counters.writes += 1;
    const result = await this.options.store.renewLease(held.leaseId, this.options.timeoutMs);
    if (!result.ok) return this.failed();
    const { remainingSeconds } = result.value;
    if (remainingSeconds <= 0) {
      this.held = undefined;
      return this.jittered(FIRST_RETRY_MS);
    }
    this.held = { ...held, validUntilMs: validUntil(askedAtMs, remainingSeconds) };
    this.retryMs = FIRST_RETRY_MS;
    return this.jittered(RENEW_AFTER_MS);
  }

  private async tryTake(self: GossipAddress): Promise<number> {
    const present = await this.range(this.prefix(this.options.dataCentre));
    if (present === undefined) return this.failed();
    const free = this.freeKey(present);
    if (free === undefined) return this.untilNextCheck();
    const askedAtMs = this.options.nowMs();
    this.counters.writes += 1;
    const lease = await this.options.store.grantLease(LEASE_TTL_SECONDS, this.options.timeoutMs);
    if (!lease.ok) return this.failed();
    const { leaseId } = lease.value;
    const isMine = await this.claim(free, leaseId, self);
    if (!isMine) {
      this.counters.writes += 1;
      await this.options.store.revokeLease(leaseId, this.options.timeoutMs);
      return this.untilNextCheck();
    }
    this.held = { key: free, leaseId, validUntilMs: validUntil(askedAtMs, LEASE_TTL_SECONDS) };
    this.retryMs = FIRST_RETRY_MS;
    return this.jittered(RENEW_AFTER_MS);
  }

  /** Writes the slot if it is still free; a lost answer is settled by reading back. */
  private async claim(key: string, leaseId: string, self: GossipAddress): Promise<boolean> {
    const { store, timeoutMs, holder } = this.options;
    const value = JSON.stringify({ holder, address: self.address, port: self.port });
    this.counters.writes += 1;
    const result = await store.transact(
      [{ key, modRevision: 0 }],
      [{ kind: 'put', key, value, leaseId }],
      timeoutMs,
    );
    if (result.ok) return result.value.succeeded;
    if (result.kind === 'refused') return false;
    const stored = await this.range(key);
    return stored?.some((entry) => entry.key === key && entry.value === value) === true;
  }

  private freeKey(present: readonly StoredValue[]): string | undefined {
    const taken = new Set(present.map(({ key }) => key));
    const keys = Array.from(
      { length: SEED_SLOTS_PER_DATA_CENTRE },
      (_, slot) => `${this.prefix(this.options.dataCentre)}${slot}`,
    );
    const free = keys.filter((key) => !taken.has(key));
    return free[Math.floor(this.options.random() * free.length)];
  }

  private async range(key: string): Promise<readonly StoredValue[] | undefined> {
    const { store, timeoutMs } = this.options;
    this.counters.reads += 1;
    const result = await store.range({ key, prefix: true, limit: MAX_SEEDS_READ }, timeoutMs);
    return result.ok ? result.value.values : undefined;
  }

  private addressesIn(values: readonly StoredValue[]): GossipAddress[] {
    const addresses: GossipAddress[] = [];
    for (const { value } of values) {
      const slot = slotSchema.safeParse(parseJson(value));
      if (slot.success && slot.data.holder !== this.options.holder) {
        addresses.push({ address: slot.data.address, port: slot.data.port });
      }
    }
    return addresses;
  }

  private prefix(dataCentre?: string): string {
    const all = `/daisyferry/${this.options.cluster}/seeds/`;
    return dataCentre === undefined ? all : `${all}${dataCentre}/`;
  }

  private failed(): number {
    this.counters.failures += 1;
    const waitMs = this.jittered(this.retryMs);
    this.retryMs = Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
    return waitMs;
  }

  private untilNextCheck(): number {
    this.retryMs = FIRST_RETRY_MS;
    return this.jittered(VACANCY_CHECK_PERIOD_MS * Math.max(1, this.options.dataCentreMembers()));
  }

  /** Spreads a wait over half to one and a half times its length. */
  private jittered(waitMs: number): number {
    return waitMs * (0.5 + this.options.random());
  }
}
