import type { Destination } from './routing-configuration';

/**
 * Distributes requests to destinations in proportion to their weights by smooth weighted round
 * robin, which keeps the proportions even in a short run of requests.
 */
export class WeightedRoundRobin {
  private readonly currentWeights: number[];

  private readonly totalWeight: number;

  /** `offset` skips some requests, so that many daemons do not start at the same destination. */
  constructor(
    private readonly destinations: readonly Destination[],
    offset = 0,
  ) {
    this.currentWeights = destinations.map(() => 0);
    this.totalWeight = destinations.reduce((sum, { weight }) => sum + weight, 0);
    if (destinations.length > 1) for (let turn = 0; turn < offset; turn += 1) this.next();
  }

  next(): string {
    let best = 0;
    for (let index = 0; index < this.destinations.length; index += 1) {
      this.currentWeights[index] =
        (this.currentWeights[index] ?? 0) + (this.destinations[index]?.weight ?? 0);
      if ((this.currentWeights[index] ?? 0) > (this.currentWeights[best] ?? 0)) best = index;
    }
    this.currentWeights[best] = (this.currentWeights[best] ?? 0) - this.totalWeight;
    return this.destinations[best]?.service ?? '';
  }
}
