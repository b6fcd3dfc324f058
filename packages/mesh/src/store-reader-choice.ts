import type { RandomSource } from '@daisyferry/model/scheduler';
import { requestRank } from './request-rank';

/** Another daemon of the same data centre to which a connection is up. */
export interface DataCentrePeer {
  readonly daemonId: string;
  /** True while the peer follows the store. */
  readonly isReading: boolean;
}

export const StoreReading = {
  /** Other daemons follow the store and report what changes. */
  none: 'none',
  /** The store is read once, to find other daemons. */
  once: 'once',
  /** This daemon follows the store and reports what changes to its data centre. */
  follow: 'follow',
} as const;

export type StoreReadingName = (typeof StoreReading)[keyof typeof StoreReading];

/**
 * Daemons of one data centre that follow the store. A single data centre has two, so that one may
 * be lost; several report new configurations to each other.
 */
const READERS_OF_SINGLE_DATA_CENTRE = 2;
const READERS_OF_EACH_DATA_CENTRE = 1;
/** Time after the first connection in which the further ones of a starting fleet come up. */
const SETTLING_MS = 700;
/** Time without any reader until the first substitute follows the store; it grows with the rank. */
const SUBSTITUTION_DELAY_MS = 1_000;
const SUBSTITUTION_DELAY_PER_RANK_MS = 150;
const MAX_SUBSTITUTION_DELAY_MS = 3_000;
/** Time without any peer after which a daemon counts as alone. */
const ALONE_AFTER_MS = 4_000;
/**
 * Time until a daemon that knows no peer reads the store: those that rank first read first, and
 * connect to the others of their data centre before these read too.
 */
const FIRST_SEARCH_AFTER_MS = 600;
const SEARCH_SPREAD_MS = 2_000;
/** Time between two searches, at random up to half as long again. */
const SEARCH_INTERVAL_MS = 1_200;

/**
 * Decides which daemons of a data centre follow the store, without any vote: those whose ids rank
 * first among the connected ones, and a substitute if none of them succeeds. Load that it answers:
 * hundreds of daemons that start at once, each call of which the store counts.
 */
export class StoreReaderChoice {
  private readonly ownRank: number;

  private connectedSinceMs: number | undefined;

  private aloneSinceMs: number | undefined;

  private withoutReaderSinceMs: number | undefined;

  private nextSearchAtMs: number | undefined;

  constructor(
    ownDaemonId: string,
    private readonly random: RandomSource,
  ) {
    this.ownRank = requestRank(ownDaemonId);
  }

  /** `peers` are the connected daemons of the data centre. */
  decide(
    peers: readonly DataCentrePeer[],
    isSingleDataCentre: boolean,
    nowMs: number,
  ): StoreReadingName {
    if (peers.length === 0) return this.decideAlone(nowMs);
    this.aloneSinceMs = undefined;
    this.nextSearchAtMs = undefined;
    this.connectedSinceMs ??= nowMs;
    if (nowMs - this.connectedSinceMs < SETTLING_MS) return StoreReading.none;
    const ahead = peers.filter(({ daemonId }) => requestRank(daemonId) < this.ownRank).length;
    const wantedReaders = isSingleDataCentre
      ? READERS_OF_SINGLE_DATA_CENTRE
      : READERS_OF_EACH_DATA_CENTRE;
    if (ahead < wantedReaders) return StoreReading.follow;
    return this.isSubstitute(peers, ahead, nowMs) ? StoreReading.follow : StoreReading.none;
  }

  private isSubstitute(peers: readonly DataCentrePeer[], ahead: number, nowMs: number): boolean {
    if (peers.some(({ isReading }) => isReading)) {
      this.withoutReaderSinceMs = undefined;
      return false;
    }
    this.withoutReaderSinceMs ??= nowMs;
    const delayMs = SUBSTITUTION_DELAY_MS + ahead * SUBSTITUTION_DELAY_PER_RANK_MS;
    return nowMs - this.withoutReaderSinceMs >= Math.min(delayMs, MAX_SUBSTITUTION_DELAY_MS);
  }

  private decideAlone(nowMs: number): StoreReadingName {
    this.connectedSinceMs = undefined;
    this.aloneSinceMs ??= nowMs;
    if (nowMs - this.aloneSinceMs >= ALONE_AFTER_MS) return StoreReading.follow;
    this.nextSearchAtMs ??= nowMs + FIRST_SEARCH_AFTER_MS + this.ownRank * SEARCH_SPREAD_MS;
    if (nowMs < this.nextSearchAtMs) return StoreReading.none;
    this.nextSearchAtMs = nowMs + SEARCH_INTERVAL_MS * (1 + this.random() / 2);
    return StoreReading.once;
  }
}
