import { createHash } from 'node:crypto';

/** 32-bit hash of a string, equal in every process. */
export function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}
