import { createHash } from 'node:crypto';
import type { Member } from '@daisyferry/model/member';

/** Length of a reference: 48 bits in base64url. */
export const MEMBER_REF_CHARACTERS = 8;

/**
 * Short reference to one version of a member's record: a hash of name, incarnation and version. With
 * 18,000 members the probability that any two references are equal is below 1e-6.
 */
export function memberRef(member: Pick<Member, 'id' | 'version'>): string {
  const { id, version } = member;
  return createHash('sha256')
    .update(`${id.name}\n${id.incarnation}\n${version}`)
    .digest('base64url')
    .slice(0, MEMBER_REF_CHARACTERS);
}

/** First 32 bits of a reference, as an unsigned integer. */
export function refBits(ref: string): number {
  return Buffer.from(ref, 'base64url').readUInt32BE(0);
}
