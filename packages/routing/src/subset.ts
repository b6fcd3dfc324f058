import { seededPermutation } from './permutation';

function greatestCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : greatestCommonDivisor(right, left % right);
}

/** A seed of its own for each round of each block. */
function seedOf(block: number, round: number): string {
  return `${block}/${round}`;
}

/** The permutation with the targets in `taken` moved out of its first `head` positions. */
function movedBack(
  permutation: Uint32Array,
  taken: ReadonlySet<number>,
  head: number,
): Uint32Array {
  const order = permutation.slice();
  let free = head;
  for (let index = 0; index < head; index += 1) {
    const target = order[index] ?? 0;
    if (!taken.has(target)) continue;
    while (taken.has(order[free] ?? 0)) free += 1;
    order[index] = order[free] ?? 0;
    order[free] = target;
    free += 1;
  }
  return order;
}

/**
 * The targets of one caller, as indices below `targetCount`; the same in every process.
 *
 * Callers are numbered; each takes the next `size` targets of a sequence of seeded permutations, so
 * that the numbers of callers of any two targets differ by one at the most. A caller that takes
 * from two permutations is kept from taking one target twice. The sequence starts anew for each
 * block of callers that uses up whole permutations, which bounds the work.
 */
export function permutedSubset(callerIndex: number, targetCount: number, size: number): number[] {
  if (size >= targetCount) return Array.from({ length: targetCount }, (_, index) => index);
  const callersPerBlock = targetCount / greatestCommonDivisor(targetCount, size);
  const block = Math.floor(callerIndex / callersPerBlock);
  const start = (callerIndex % callersPerBlock) * size;
  const chosen: number[] = [];
  let taken: Uint32Array = new Uint32Array(0);
  for (let round = 0; chosen.length < size; round += 1) {
    const permutation = seededPermutation(targetCount, seedOf(block, round));
    const head = taken.length === 0 ? 0 : size - taken.length;
    const order = movedBack(permutation, new Set(taken), head);
    const first = start + chosen.length - round * targetCount;
    if (first < targetCount) chosen.push(...order.subarray(first, first + size - chosen.length));
    const untaken = ((round + 1) * targetCount) % size;
    taken = order.subarray(targetCount - untaken);
  }
  return chosen;
}
