/** How many daemons of one data centre are reached, of those that there are or were lately. */
export interface ZoneSample {
  reachedCount: number;
  lostCount: number;
  /** All daemons of the data centre, also those to which there was no link. */
  readonly size: number;
}

/** Reached daemons from which a share can be told. */
const MIN_SAMPLE = 8;
/**
 * Share of the daemons whose loss takes nothing from the others. At most one side of a cut has lost
 * so few, and the slack of the promise covers what the others use.
 */
const TOLERATED_LOSS = 0.04;

/**
 * Share of the fleet that a daemon reaches, told from its links. Each data centre counts by its size,
 * as most links lead to the own one.
 */
export function reachedShare(samples: Iterable<ZoneSample>): number {
  let reachedSize = 0;
  let sizeSum = 0;
  let reachedSum = 0;
  for (const { reachedCount, lostCount, size } of samples) {
    const count = reachedCount + lostCount;
    if (count > 0) {
      reachedSum += reachedCount;
      sizeSum += Math.max(size, count);
      reachedSize += (Math.max(size, count) * reachedCount) / count;
    }
  }
  if (sizeSum === 0) return 0;
  const evidence = Math.min(1, reachedSum / Math.min(MIN_SAMPLE, sizeSum));
  const share = evidence * (reachedSize / sizeSum);
  return share >= 1 - TOLERATED_LOSS ? 1 : share;
}
