import xxhash from 'xxhash-wasm';
import { CALL_CLASS_COUNT } from '@daisyferry/model/call-class';
import type { CallClassRank } from '@daisyferry/model/call-class';

/** Threshold that admits every call. */
export const MAX_THRESHOLD = CALL_CLASS_COUNT;
/** Minimum threshold: it still admits every call of the most critical class. */
export const MIN_THRESHOLD = 1;

const UINT32_RANGE = 0x1_0000_0000;

// The WebAssembly module is instantiated once, when this module loads; hashing is synchronous.
const { h32 } = await xxhash();

/** Hash of a root request (xxHash32), uniform in [0, 1) and the same in every process. */
export function rootHashOf(rootId: string): number {
  return h32(rootId) / UINT32_RANGE;
}

/**
 * Priority of a call in [0, 4), lower is more critical: first the class, then the hash of the root.
 * A threshold admits the calls whose priority is below it.
 */
export function priorityOf(rank: CallClassRank, rootHash: number): number {
  return rank + rootHash;
}
