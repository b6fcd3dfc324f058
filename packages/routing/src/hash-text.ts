import { createHash } from 'node:crypto';

/** 32-bit hash of a text; the same in every process. */
export function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}
