import { requestRank } from '@daisyferry/mesh/request-rank';

const SLOTS = 16_384;
const SLOTS_PER_ID = 3;

/**
 * The ids of the requests that one connection has carried, in a Bloom filter: `has` is true for each
 * id that was added, whatever its length, and for few others while there are at most `MAX_IDS`.
 */
export class CarriedIds {
  /** Number of ids up to which about one in 200 others at most is taken for one of them. */
  static readonly MAX_IDS = 1_024;

  private readonly isTaken = new Uint8Array(SLOTS);

  add(id: string): void {
    for (const slot of CarriedIds.slotsOf(id)) this.isTaken[slot] = 1;
  }

  has(id: string): boolean {
    return CarriedIds.slotsOf(id).every((slot) => this.isTaken[slot] === 1);
  }

  private static slotsOf(id: string): number[] {
    const position = requestRank(id) * SLOTS;
    const first = Math.floor(position);
    // Odd, so that the slots of an id differ.
    const step = 2 * Math.floor(((position % 1) * SLOTS) / 2) + 1;
    return Array.from({ length: SLOTS_PER_ID }, (_, index) => (first + index * step) % SLOTS);
  }
}
