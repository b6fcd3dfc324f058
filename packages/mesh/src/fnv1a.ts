const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** 32-bit FNV-1a hash of a text, finished so that also its high bits depend on all characters. */
export function fnv1a(text: string): number {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 15)) >>> 0;
}
