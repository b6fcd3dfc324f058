import { LARGE_BYTES } from './buffer-budget';

/** Something that holds memory of the budget for a client, and can give it up. */
export interface MemoryHolder {
  /** Bytes that are free once it gives way; 0 if it must not. */
  readonly releasableBytes: number;
  /** Time since which it has held some of them. */
  readonly heldSinceMs: number;
  /** Releases the bytes before it returns. */
  giveWay(): void;
}

/** Time for which any client may hold what it needs, unless a small message has no room. */
const MIN_HELD_MS = 1_000;
/** Share of the budget that is freed beyond what is missing, so that holders are searched rarely. */
const SURPLUS_SHARE = 1 / 16;
/** Time without a further search after one that found nobody. */
const SEARCH_PAUSE_MS = 20;

/** True if the holder may be asked to give way to a message of `claimedBytes`. */
function mayGiveWay(
  { releasableBytes, heldSinceMs }: MemoryHolder,
  claimedBytes: number,
  nowMs: number,
): boolean {
  if (releasableBytes === 0) return false;
  if (nowMs - heldSinceMs >= MIN_HELD_MS) return true;
  return claimedBytes < LARGE_BYTES && releasableBytes >= LARGE_BYTES;
}

/**
 * Returns the holders that give way: those with the greatest product of bytes and time, as far as
 * they are needed; none if all of them together are not enough.
 */
export function worstHolders<Holder extends MemoryHolder>(
  holders: Iterable<Holder>,
  need: {
    readonly missingBytes: number;
    readonly claimedBytes: number;
    readonly surplusBytes: number;
  },
  nowMs: number,
): Holder[] {
  const candidates = [...holders].filter((holder) => mayGiveWay(holder, need.claimedBytes, nowMs));
  const byteMsOf = ({ releasableBytes, heldSinceMs }: Holder) =>
    releasableBytes * Math.max(1, nowMs - heldSinceMs);
  candidates.sort((one, other) => byteMsOf(other) - byteMsOf(one));
  const chosen: Holder[] = [];
  let freedBytes = 0;
  for (const holder of candidates) {
    if (freedBytes >= need.missingBytes + need.surplusBytes) break;
    chosen.push(holder);
    freedBytes += holder.releasableBytes;
  }
  return freedBytes >= need.missingBytes ? chosen : [];
}

/**
 * Makes room in a budget that is used up. Load that it answers: many clients that hold memory without
 * need, beside ordinary ones; those that hold the most for the longest give way first.
 */
export class MemoryReclaim {
  private readonly surplusBytes: number;

  /** Times before which no holders are searched, for large and small messages. */
  private readonly pausedUntilMs = { large: 0, small: 0 };

  private reclaimed = 0;

  private holders: () => Iterable<MemoryHolder> = () => [];

  constructor(capacityBytes: number) {
    this.surplusBytes = capacityBytes * SURPLUS_SHARE;
  }

  /** Sets among whom those that give way are searched. */
  searchAmong(holders: () => Iterable<MemoryHolder>): void {
    this.holders = holders;
  }

  /** Holders that have given way since the start. */
  get reclaimedCount(): number {
    return this.reclaimed;
  }

  makeRoom(missingBytes: number, claimedBytes: number, nowMs: number): void {
    const size = claimedBytes < LARGE_BYTES ? 'small' : 'large';
    if (nowMs < this.pausedUntilMs[size]) return;
    const { surplusBytes } = this;
    const need = { missingBytes, claimedBytes, surplusBytes };
    const chosen = worstHolders(this.holders(), need, nowMs);
    if (chosen.length === 0) this.pausedUntilMs[size] = nowMs + SEARCH_PAUSE_MS;
    for (const holder of chosen) holder.giveWay();
    this.reclaimed += chosen.length;
  }
}
