import type { QuotaAnswer, QuotaAsk } from './quota-ask';
import { QuotaBucket, type QuotaLimit } from './quota-bucket';
import { GrantedWindow } from './granted-window';
import { ringPoint } from './quota-ring';
import { PAUSE_MS, START_HOLD_MS, TAKEOVER_HOLD_MS } from './quota-terms';
import type { RingPart } from './ring-part';

export interface QuotaHomeOptions {
  readonly part: RingPart;
  /** The account's limit; undefined if it is not in the configuration. */
  readonly limitOf: (account: string) => QuotaLimit | 'unlimited' | undefined;
  /** False until a configuration has been applied. */
  readonly hasConfiguration: () => boolean;
  /** Share of the fleet that this daemon reaches. */
  readonly share: (nowMs: number) => number;
  /**
   * Length of the windows in each of which the rate and the burst together may be used; undefined
   * if a burst has to be saved up by using less than the rate.
   */
  readonly windowMs?: (() => number | undefined) | undefined;
}

interface HeldBucket {
  readonly bucket: QuotaBucket;
  /** Undefined without windows. */
  readonly window: GrantedWindow | undefined;
  /** Entries that were refused since the last grant, and are therefore due before others. */
  refusals: number;
  askedAtMs: number;
}

const MS_PER_SECOND = 1_000;
/** Time after which a question that finds no home here is to be asked again. */
const DEFERRAL_MS = 100;
/** Bounds of the time after which an entry asks again for an account without room. */
const MIN_ROOM_MS = 20;
const MAX_ROOM_MS = 1_000;
/** Time without questions after which the bucket of an account is dropped if it is full. */
const IDLE_MS = 10_000;
/** Held beyond the burst, so that parts that lapse unused don't cost a small account its burst. */
const EXTRA_BURST = 5;
const EXTRA_BURST_SHARE = 0.05;
/** The same for what is handed out in a window. */
const EXTRA_WINDOW_SHARE = 0.02;
/** Share of the tokens held that a single entry gets ahead of need. */
const AHEAD_SHARE = 0.5;
const UNLIMITED_PART = 1_000;
const NO_LIMIT: QuotaLimit = { ratePerS: Number.POSITIVE_INFINITY, burst: 0 };

/** Limit of the bucket of a home that reaches this share of the fleet. */
function bucketLimit({ ratePerS, burst }: QuotaLimit, share: number, windowMs = 0): QuotaLimit {
  const burstPerS = windowMs > 0 ? (burst * MS_PER_SECOND) / windowMs : 0;
  return {
    ratePerS: (ratePerS + burstPerS) * share,
    burst: (burst * (1 + EXTRA_BURST_SHARE) + EXTRA_BURST) * share,
  };
}

/**
 * Hands out the quotas of the accounts whose home this daemon is, in small parts that lapse. Load
 * that it answers: an account of two requests a second over 89 entries, one of 460, and one that
 * asks many times its limit; a share for each entry would refuse nearly all of the first.
 *
 * A daemon that becomes the home of accounts hands out nothing until the parts of the earlier one
 * must have lapsed, and then as from an empty bucket.
 */
export class QuotaHome {
  private readonly buckets = new Map<string, HeldBucket>();

  /** Time from which this daemon can be a home. */
  private readyAtMs = Number.POSITIVE_INFINITY;

  /** Since when this daemon is the home of accounts for which it holds no bucket. */
  private homeSinceMs = Number.POSITIVE_INFINITY;

  private checkedAtMs: number | undefined;

  private sweptAtMs = 0;

  constructor(private readonly options: QuotaHomeOptions) {}

  get heldCount(): number {
    return this.buckets.size;
  }

  /** Called several times a second, and before each answer. Returns true after a pause. */
  check(nowMs: number): boolean {
    const lastMs = this.checkedAtMs;
    this.checkedAtMs = nowMs;
    if (!this.options.hasConfiguration()) return false;
    if (this.readyAtMs === Number.POSITIVE_INFINITY) {
      this.readyAtMs = nowMs + START_HOLD_MS;
      this.homeSinceMs = this.readyAtMs + TAKEOVER_HOLD_MS;
    }
    if (nowMs - this.sweptAtMs > IDLE_MS) this.sweep(nowMs);
    // Another daemon may have taken over meanwhile.
    if (lastMs === undefined || nowMs - lastMs < PAUSE_MS) return false;
    this.buckets.clear();
    this.homeSinceMs = Math.max(this.homeSinceMs, nowMs + TAKEOVER_HOLD_MS);
    return true;
  }

  /** Sets the usable daemon before this one on the ring; returns true if the accounts changed. */
  setBefore(daemonId: string | undefined, nowMs: number): boolean {
    const { part } = this.options;
    const change = part.setBefore(daemonId);
    if (change === 'grown' && this.readyAtMs !== Number.POSITIVE_INFINITY)
      this.homeSinceMs = Math.max(this.homeSinceMs, nowMs + TAKEOVER_HOLD_MS);
    if (change === 'shrunk') {
      for (const account of this.buckets.keys()) {
        if (!part.has(ringPoint(account))) this.buckets.delete(account);
      }
    }
    return change !== 'same';
  }

  /** Time until this daemon can be a home; 0 if it can. */
  unreadyMs(nowMs: number): number {
    this.check(nowMs);
    if (this.readyAtMs === Number.POSITIVE_INFINITY) return DEFERRAL_MS;
    return Math.max(0, this.readyAtMs - nowMs);
  }

  answer(ask: QuotaAsk, nowMs: number): QuotaAnswer {
    const { part, limitOf } = this.options;
    const unreadyMs = this.unreadyMs(nowMs);
    if (unreadyMs > 0) return { kind: 'unready', forMs: unreadyMs };
    if (!part.has(ringPoint(ask.account))) return { kind: 'deferred', forMs: DEFERRAL_MS };
    const limit = limitOf(ask.account);
    if (limit === undefined) return { kind: 'deferred', forMs: DEFERRAL_MS };
    if (limit === 'unlimited') {
      return { kind: 'granted', count: Math.max(ask.need, UNLIMITED_PART), roomInMs: 0 };
    }
    if (limit.ratePerS <= 0) return { kind: 'granted', count: 0, roomInMs: MAX_ROOM_MS };
    if (!this.buckets.has(ask.account) && nowMs < this.homeSinceMs)
      return { kind: 'deferred', forMs: Math.min(DEFERRAL_MS, this.homeSinceMs - nowMs) };
    return this.grant(ask, limit, nowMs);
  }

  /** The bursts of windows may be used once what earlier homes have handed out lies behind. */
  private usableWindowMs(nowMs: number): number | undefined {
    const windowMs = this.options.windowMs?.();
    return windowMs !== undefined && nowMs >= this.homeSinceMs + windowMs ? windowMs : undefined;
  }

  /** Tokens that may be handed out in the present window. */
  private windowRoom(
    { window }: HeldBucket,
    { ratePerS, burst }: QuotaLimit,
    nowMs: number,
  ): number {
    const windowMs = this.options.windowMs?.();
    if (window === undefined || windowMs === undefined) return Number.POSITIVE_INFINITY;
    const promised = (ratePerS * windowMs) / MS_PER_SECOND + burst;
    const most = promised * (1 + EXTRA_WINDOW_SHARE) + EXTRA_BURST;
    return most * this.options.share(nowMs) - window.sum(nowMs);
  }

  private grant(ask: QuotaAsk, accountLimit: QuotaLimit, nowMs: number): QuotaAnswer {
    const share = this.options.share(nowMs);
    const limit = bucketLimit(accountLimit, share, this.usableWindowMs(nowMs));
    const held = this.bucketOf(ask.account, limit);
    const { bucket, window } = held;
    bucket.setLimit(limit, nowMs);
    held.askedAtMs = nowMs;
    bucket.putBack(ask.unused);
    window?.putBack(ask.unused, nowMs);
    const level = Math.min(bucket.levelAt(nowMs), this.windowRoom(held, accountLimit, nowMs));
    const most = Math.max(Math.min(ask.need, Math.floor(level)), Math.floor(level * AHEAD_SHARE));
    const count = bucket.take(Math.min(ask.need + ask.ahead, most), nowMs);
    window?.add(count, nowMs);
    if (count >= ask.need) {
      held.refusals = 0;
      return { kind: 'granted', count, roomInMs: 0 };
    }
    held.refusals = count > 0 ? 0 : held.refusals + 1;
    // As many as were refused before ask again first, but no tokens are to be lost meanwhile.
    const oneMs = MS_PER_SECOND / limit.ratePerS;
    const spareMs = Math.min(MAX_ROOM_MS, (limit.burst * oneMs) / 2);
    const queueMs = Math.min(held.refusals * oneMs, spareMs);
    const roomInMs = Math.max(MIN_ROOM_MS, bucket.msUntil(1, nowMs), queueMs);
    return { kind: 'granted', count, roomInMs };
  }

  private bucketOf(account: string, limit: QuotaLimit): HeldBucket {
    const present = this.buckets.get(account);
    if (present !== undefined) return present;
    const bucket = new QuotaBucket(limit, this.homeSinceMs);
    const windowMs = this.options.windowMs?.();
    const window = windowMs === undefined ? undefined : new GrantedWindow(windowMs);
    const held = { bucket, window, refusals: 0, askedAtMs: 0 };
    this.buckets.set(account, held);
    return held;
  }

  /** Drops the buckets that would be as full if they were built anew. */
  private sweep(nowMs: number): void {
    this.sweptAtMs = nowMs;
    for (const [account, { askedAtMs }] of this.buckets) {
      const idleMs = nowMs - Math.max(askedAtMs, this.homeSinceMs);
      const limit = this.options.limitOf(account);
      const isLimited = limit !== undefined && limit !== 'unlimited' && limit.ratePerS > 0;
      const { ratePerS, burst } = bucketLimit(isLimited ? limit : NO_LIMIT, 1);
      const fillMs = (burst / ratePerS) * MS_PER_SECOND;
      if (idleMs > Math.max(IDLE_MS, fillMs)) this.buckets.delete(account);
    }
  }
}
