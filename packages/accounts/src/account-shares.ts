import type { AccountShares } from '@daisyferry/mesh/account-shares';

/** Time constant with which use is forgotten, and with which the usual use is. */
const RECENT_MS = 2_000;
const USUAL_MS = 60_000;
/** Accounts whose use is held. */
const MAX_ACCOUNTS = 4_096;
/** Recent use below this counts as none. */
const MIN_USE_MS = 0.5;
/** Shortest time between two comparisons of all accounts. */
const COMPARISON_INTERVAL_MS = 100;
/** Use relative to the share, in terms of the mean, up to which accounts are alike. */
const TOLERATED_RATIO = 1.5;
/** Weight of the newest call in the mean slot time. */
const SLOT_TIME_SAMPLE_WEIGHT = 0.01;
/** Calls that cost more than this many times the mean count as that much more of their share. */
const MAX_COST_RATIO = 2.5;
const MS_PER_SECOND = 1_000;

/** Use in slot time, as it was at a moment. */
interface Use {
  recentMs: number;
  usualMs: number;
  /** Mean slot time of the account's calls. */
  callMs: number;
  atMs: number;
}

function decay(elapsedMs: number, constantMs: number): number {
  return Math.exp(-Math.max(0, elapsedMs) / constantMs);
}

/**
 * The slot time that accounts have used lately at one target, relative to what each may use: its
 * limit or, without one, its usual use. Load that it answers: a service that is full for all while one
 * account sends many times its usual. The calls of that account start after those of others. Accounts that
 * use no more than others of what they may are alike, so that a large one gets as great a part of
 * what it asks as a small one. Calls that cost more slot time
 * than others use up their account's share sooner, up to a bound that keeps it from starving.
 */
export class DecayingAccountShares implements AccountShares {
  private readonly uses = new Map<string, Use>();

  /** Recent use of all accounts relative to what they may use. */
  private meanRatio = 0;

  /** Recent use at which an account of mean size is at its share. */
  private referenceMs = 0;

  private comparedAtMs = Number.NEGATIVE_INFINITY;

  private startedAtMs: number | undefined;

  private meanCallMs: number | undefined;

  /** `ratePerSOf` gives the account's limit; undefined without one. */
  constructor(private readonly ratePerSOf: (account: string) => number | undefined) {}

  get heldCount(): number {
    return this.uses.size;
  }

  recordUse(account: string, slotMs: number, nowMs: number): void {
    this.startedAtMs ??= nowMs;
    this.meanCallMs ??= slotMs;
    this.meanCallMs += (slotMs - this.meanCallMs) * SLOT_TIME_SAMPLE_WEIGHT;
    const present = this.uses.get(account);
    if (present !== undefined) {
      const elapsedMs = nowMs - present.atMs;
      present.recentMs = present.recentMs * decay(elapsedMs, RECENT_MS) + slotMs;
      present.usualMs = present.usualMs * decay(elapsedMs, USUAL_MS) + slotMs;
      present.callMs += (slotMs - present.callMs) * SLOT_TIME_SAMPLE_WEIGHT;
      present.atMs = nowMs;
      return;
    }
    if (this.uses.size >= MAX_ACCOUNTS) this.compare(nowMs);
    if (this.uses.size >= MAX_ACCOUNTS) return;
    this.uses.set(account, { recentMs: slotMs, usualMs: slotMs, callMs: slotMs, atMs: nowMs });
  }

  excessMs(account: string, nowMs: number): number {
    const use = this.uses.get(account);
    if (use === undefined) return 0;
    this.compare(nowMs);
    if (this.meanRatio === 0) return 0;
    const recentMs = use.recentMs * decay(nowMs - use.atMs, RECENT_MS);
    const ratio = recentMs / this.shareMs(account, use, nowMs);
    return Math.max(0, ratio / this.meanRatio - TOLERATED_RATIO) * this.referenceMs;
  }

  /** Slot time that the account may use in the time that counts as recent. */
  private shareMs(account: string, use: Use, nowMs: number): number {
    const { meanCallMs = 0, startedAtMs = nowMs } = this;
    const leastMs = Math.max(MIN_USE_MS, meanCallMs);
    const ratePerS = this.ratePerSOf(account);
    if (ratePerS !== undefined) {
      const callMs = Math.max(meanCallMs, use.callMs / MAX_COST_RATIO);
      return Math.max(leastMs, (ratePerS * callMs * RECENT_MS) / MS_PER_SECOND);
    }
    // Less than the usual time has been seen since the start.
    const seenShare = 1 - decay(Math.max(RECENT_MS, nowMs - startedAtMs), USUAL_MS);
    const usualMs = (use.usualMs * decay(nowMs - use.atMs, USUAL_MS)) / seenShare;
    return Math.max(leastMs, (usualMs * RECENT_MS) / USUAL_MS);
  }

  /** Sums up the use of all, and drops accounts without any; not more often than at an interval. */
  private compare(nowMs: number): void {
    if (nowMs - this.comparedAtMs < COMPARISON_INTERVAL_MS) return;
    this.comparedAtMs = nowMs;
    let recentSumMs = 0;
    let shareSumMs = 0;
    for (const [account, use] of this.uses) {
      const elapsedMs = nowMs - use.atMs;
      if (use.usualMs * decay(elapsedMs, USUAL_MS) < MIN_USE_MS) this.uses.delete(account);
      recentSumMs += use.recentMs * decay(elapsedMs, RECENT_MS);
      shareSumMs += this.shareMs(account, use, nowMs);
    }
    this.meanRatio = shareSumMs === 0 ? 0 : recentSumMs / shareSumMs;
    this.referenceMs = this.uses.size === 0 ? 0 : shareSumMs / this.uses.size;
  }
}
