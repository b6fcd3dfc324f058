import { isIP } from 'node:net';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { KeyValueStore, StoredValue } from '@daisyferry/store/key-value-store';
import { z } from 'zod';
import type { GossipAddress } from './gossip-effect';

/** Number of seed slots per data centre. */
export const SEED_SLOTS_PER_DATA_CENTRE = 3;

const LEASE_TTL_SECONDS = 60;
const MS_PER_SECOND = 1_000;
const RENEW_AFTER_MS = 20_000;
/** Safety margin: a lease is considered expired this long before the granted time ends. */
const LEASE_MARGIN_MS = 5_000;
/** On average, one daemon of a data centre checks for free slots per interval. */
const VACANCY_CHECK_PERIOD_MS = 30_000;
const FIRST_RETRY_DELAY_MS = 1_000;
const MAX_RETRY_DELAY_MS = 60_000;
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
  /** Name and incarnation of this daemon; identifies its own slot. */
  readonly holder: string;
  readonly timeoutMs: number;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Number of members in the data centre; the checks for free slots are spread over them. */
  readonly dataCentreMembers: () => number;
}

/** Store calls since the start. */
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

/** Result of reading the seeds; `reachable` is false if the store did not respond. */
export interface SeedsResult {
  readonly reachable: boolean;
  readonly seeds: readonly GossipAddress[];
}

function leaseValidUntilMs(requestedAtMs: number, remainingSeconds: number): number {
  return requestedAtMs + remainingSeconds * MS_PER_SECOND - LEASE_MARGIN_MS;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * A bounded number of leased keys per data centre in the store, which joining members read to find
 * peers. Holders renew their lease. The other daemons of the data centre check for free slots; the
 * interval of each grows with their number, so that the rate of all checks is constant.
 */
export class SeedSlots {
  readonly counters: SeedSlotCounters = { reads: 0, writes: 0, failures: 0 };

  private heldSlot: HeldSlot | undefined;

  private retryDelayMs = FIRST_RETRY_DELAY_MS;

  constructor(private readonly options: SeedSlotsOptions) {}

  /**
   * True while this daemon is guaranteed to hold a slot according to its own clock. The validity is
   * counted from before the last renewal was sent, so that a holder that was paused detects that
   * its lease may have expired.
   */
  holdsSlot(nowMs: number): boolean {
    return this.heldSlot !== undefined && nowMs < this.heldSlot.validUntilMs;
  }

  /** Reads the seeds of the own data centre, or of all data centres if it has none. */
  async readSeeds(): Promise<SeedsResult> {
    const own = await this.readRange(this.prefix(this.options.dataCentre));
    if (own === undefined) return { reachable: false, seeds: [] };
    const seeds = this.addressesIn(own);
    if (seeds.length > 0) return { reachable: true, seeds };
    const all = await this.readRange(this.prefix());
    return { reachable: all !== undefined, seeds: this.addressesIn(all ?? []) };
  }

  /** Renews the held slot or claims a free one; resolves to the delay until the next call. */
  async renewOrClaim(self: GossipAddress): Promise<number> {
    if (this.heldSlot !== undefined) return this.renew(this.heldSlot);
    return this.tryClaim(self);
  }

  /** Releases the slot by revoking its lease. */
  async release(): Promise<void> {
    const { heldSlot } = this;
    this.heldSlot = undefined;
    if (heldSlot === undefined) return;
    this.counters.writes += 1;
    await this.options.store.revokeLease(heldSlot.leaseId, this.options.timeoutMs);
  }

  private async renew(slot: HeldSlot): Promise<number> {
    const requestedAtMs = this.options.nowMs();
    this.counters.writes += 1;
    const result = await this.options.store.renewLease(slot.leaseId, this.options.timeoutMs);
    if (!result.ok) return this.delayAfterFailure();
    const { remainingSeconds } = result.value;
    if (remainingSeconds <= 0) {
      this.heldSlot = undefined;
      return this.jittered(FIRST_RETRY_DELAY_MS);
    }
    this.heldSlot = { ...slot, validUntilMs: leaseValidUntilMs(requestedAtMs, remainingSeconds) };
    this.retryDelayMs = FIRST_RETRY_DELAY_MS;
    return this.jittered(RENEW_AFTER_MS);
  }

  private async tryClaim(self: GossipAddress): Promise<number> {
    const takenSlots = await this.readRange(this.prefix(this.options.dataCentre));
    if (takenSlots === undefined) return this.delayAfterFailure();
    const freeKey = this.chooseFreeKey(takenSlots);
    if (freeKey === undefined) return this.vacancyCheckDelay();
    const requestedAtMs = this.options.nowMs();
    this.counters.writes += 1;
    const lease = await this.options.store.grantLease(LEASE_TTL_SECONDS, this.options.timeoutMs);
    if (!lease.ok) return this.delayAfterFailure();
    const { leaseId } = lease.value;
    const isClaimed = await this.writeSlot(freeKey, leaseId, self);
    if (!isClaimed) {
      this.counters.writes += 1;
      await this.options.store.revokeLease(leaseId, this.options.timeoutMs);
      return this.vacancyCheckDelay();
    }
    this.heldSlot = {
      key: freeKey,
      leaseId,
      validUntilMs: leaseValidUntilMs(requestedAtMs, LEASE_TTL_SECONDS),
    };
    this.retryDelayMs = FIRST_RETRY_DELAY_MS;
    return this.jittered(RENEW_AFTER_MS);
  }

  /** Writes the slot if it is still free; a lost response is resolved by reading the key. */
  private async writeSlot(key: string, leaseId: string, self: GossipAddress): Promise<boolean> {
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
    const stored = await this.readRange(key);
    return stored?.some((entry) => entry.key === key && entry.value === value) === true;
  }

  private chooseFreeKey(takenSlots: readonly StoredValue[]): string | undefined {
    const takenKeys = new Set(takenSlots.map(({ key }) => key));
    const keys = Array.from(
      { length: SEED_SLOTS_PER_DATA_CENTRE },
      (_, slot) => `${this.prefix(this.options.dataCentre)}${slot}`,
    );
    const freeKeys = keys.filter((key) => !takenKeys.has(key));
    return freeKeys[Math.floor(this.options.random() * freeKeys.length)];
  }

  private async readRange(key: string): Promise<readonly StoredValue[] | undefined> {
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

  private delayAfterFailure(): number {
    this.counters.failures += 1;
    const waitMs = this.jittered(this.retryDelayMs);
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
    return waitMs;
  }

  private vacancyCheckDelay(): number {
    this.retryDelayMs = FIRST_RETRY_DELAY_MS;
    return this.jittered(VACANCY_CHECK_PERIOD_MS * Math.max(1, this.options.dataCentreMembers()));
  }

  /** Multiplies a delay by a random factor between 0.5 and 1.5. */
  private jittered(waitMs: number): number {
    return waitMs * (0.5 + this.options.random());
  }
}
