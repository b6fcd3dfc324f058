import { seededPermutation } from './permutation';

function greatestCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : greatestCommonDivisor(right, left % right);
}

/** Distinct seed for each round of each block. */
function seedOf(block: number, round: number): string {
  return `${block}/${round}`;
}

/** Returns the permutation with the targets in `taken` moved out of its first `head` positions. */
function moveTakenBack(
  permutation: Uint32Array,
  taken: ReadonlySet<number>,
  head: number,
): Uint32Array {
  const order = permutation.slice();
  let nextFree = head;
  for (let index = 0; index < head; index += 1) {
    const target = order[index] ?? 0;
    if (!taken.has(target)) continue;
    while (taken.has(order[nextFree] ?? 0)) nextFree += 1;
    order[index] = order[nextFree] ?? 0;
    order[nextFree] = target;
    nextFree += 1;
  }
  return order;
}

/**
 * Targets of one caller, as indices below `targetCount`; equal in every process.
 *
 * Each caller, in the order of the indices, gets the next `size` targets of a sequence of seeded
 * permutations, so that the numbers of callers of any two targets differ by at most one. A caller
 * whose targets span two permutations never gets the same target twice. The sequence restarts for
 * each block of callers that uses up whole permutations, which bounds the computation.
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
    const order = moveTakenBack(permutation, new Set(taken), head);
    const first = start + chosen.length - round * targetCount;
    if (first < targetCount) chosen.push(...order.subarray(first, first + size - chosen.length));
    const untaken = ((round + 1) * targetCount) % size;
    taken = order.subarray(targetCount - untaken);
  }
  return chosen;
}
