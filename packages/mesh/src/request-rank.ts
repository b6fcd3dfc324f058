/** The greatest prime below 2^32: products with the multiplier stay exact in a double. */
const MODULUS = 4_294_967_291;
/** Multiplier of the sdbm string hash; a prime. */
const MULTIPLIER = 65_599;
/** Fraction of the golden ratio: distributes consecutive hashes evenly (Fibonacci hashing). */
const GOLDEN_RATIO_FRACTION = 0.618_033_988_749_895;

/**
 * Hashes a request id to the request's rank within its priority class: uniform in [0, 1) and the
 * same in every process. Plain arithmetic, as a WebAssembly hash would start too slowly for a
 * daemon of this kind.
 */
export function requestRank(requestId: string): number {
  let hash = requestId.length;
  for (let index = 0; index < requestId.length; index += 1) {
    hash = (hash * MULTIPLIER + requestId.charCodeAt(index)) % MODULUS;
  }
  return (hash * GOLDEN_RATIO_FRACTION) % 1;
}
