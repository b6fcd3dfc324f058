import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { GossipAddress } from './gossip-effect';
import type { RefWithRank } from './gossip-message';
import type { MemberRecord } from './member-record';
import type { MessageWriter } from './message-writer';

/** The references in one bucket of the table. */
export interface BucketEntries {
  readonly bits: number;
  readonly index: number;
  readonly entries: readonly RefWithRank[];
}

/** Content of a message to one peer besides the queued updates. */
export interface GossipReply {
  /** References of the records to request. */
  readonly requestedRefs: string[];
  /** Records that the peer lacks. */
  readonly records: MemberRecord[];
  /** Members whose state the peer should learn. */
  readonly states: MemberRecord[];
  /** Buckets whose content the peer should compare; only the first one is sent. */
  readonly listings: BucketEntries[];
}

export function emptyReply(): GossipReply {
  return { requestedRefs: [], records: [], states: [], listings: [] };
}

export function isEmptyReply({ requestedRefs, records, states, listings }: GossipReply): boolean {
  return requestedRefs.length + records.length + states.length + listings.length === 0;
}

/** Gossip address of a member. */
export function addressOf(member: Member): GossipAddress {
  return { address: member.address, port: member.gossipPort };
}

/** Builds a reply that informs a suspected or dead member of its state, so that it can refute it. */
export function suspicionNotice(record: MemberRecord): GossipReply {
  const reply = emptyReply();
  if (record.reachability !== Reachability.alive) reply.states.push(record);
  return reply;
}

/** Writes as much of a reply as fits, smallest items first. */
export function writeReply(writer: MessageWriter, reply: GossipReply): void {
  for (const record of reply.states) writer.addState(record);
  for (const ref of reply.requestedRefs) writer.addRequestedRef(ref);
  for (const record of reply.records) writer.addRecord(record);
  const [listing] = reply.listings;
  if (listing !== undefined) writer.setListing(listing);
}
