import type { Destination } from './routing-configuration';

/**
 * Deals requests to destinations in proportion to their weights by smooth weighted round robin, so
 * that also a short run of requests keeps the proportions.
 */
export class SplitWheel {
  private readonly credit: number[];

  private readonly totalWeight: number;

  /** `offset` turns the wheel by some requests, so that many daemons do not start in step. */
  constructor(
    private readonly destinations: readonly Destination[],
    offset = 0,
  ) {
    this.credit = destinations.map(() => 0);
    this.totalWeight = destinations.reduce((sum, { weight }) => sum + weight, 0);
    if (destinations.length > 1) for (let turn = 0; turn < offset; turn += 1) this.next();
  }

  next(): string {
    let best = 0;
    for (let index = 0; index < this.destinations.length; index += 1) {
      this.credit[index] = (this.credit[index] ?? 0) + (this.destinations[index]?.weight ?? 0);
      if ((this.credit[index] ?? 0) > (this.credit[best] ?? 0)) best = index;
    }
    this.credit[best] = (this.credit[best] ?? 0) - this.totalWeight;
    return this.destinations[best]?.service ?? '';
  }
}
