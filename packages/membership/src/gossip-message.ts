import type { MemberRow } from './member-row';

/** Version of the gossip protocol; messages of other versions are dropped. */
export const GOSSIP_PROTOCOL_VERSION = 1;

/** Longest datagram, signature included; fits an Ethernet frame with space for tunnel headers. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Bytes that IP and UDP headers add to each datagram. */
export const DATAGRAM_OVERHEAD_BYTES = 28;

/**
 * Methods of the JSON-RPC 2.0 notifications between daemons.
 * - `ping` asks the receiver for an `ack` with the same sequence number.
 * - `relay` asks the receiver to ping the member `target` and to forward its `ack`.
 * - `push` contains only updates.
 */
export const GossipMethod = {
  ping: 'ping',
  ack: 'ack',
  relay: 'relay',
  push: 'push',
} as const;

export type GossipMethodName = (typeof GossipMethod)[keyof typeof GossipMethod];

/** A reference to a known record and its number of refutations. */
export type RefCount = readonly [ref: string, refutations: number];

/** A reference to a known record and the rank of its state. */
export type RefRank = readonly [ref: string, rank: number];

/** Digest of one bucket of the table: the records whose references begin with the given bits. */
export interface BucketDigest {
  readonly bits: number;
  readonly index: number;
  /** Sum, modulo 2^32, over the references and state ranks in the bucket. */
  readonly digest: number;
}

/** The references in one bucket, to repair differences between two tables. */
export interface BucketListing {
  readonly bits: number;
  readonly index: number;
  readonly complete: boolean;
  readonly entries: readonly RefRank[];
}

/** One datagram. */
export interface GossipMessage {
  readonly method: GossipMethodName;
  readonly cluster: string;
  /** Reference of the sender's own record. */
  readonly from: string;
  /** Greatest policy revision that the sender applies. */
  readonly revision: number;
  /** Correlates a ping with its ack; 0 in a push. */
  readonly sequence: number;
  /** Reference of the probed member; empty in a push. */
  readonly target: string;
  readonly alive: readonly RefCount[];
  readonly suspect: readonly RefCount[];
  readonly dead: readonly RefCount[];
  readonly records: readonly MemberRow[];
  /** References of the records that the sender requests. */
  readonly requestedRefs: readonly string[];
  readonly digest?: BucketDigest;
  readonly listing?: BucketListing;
}

/** Why a datagram was dropped. */
export const DropReason = {
  oversized: 'oversized',
  unsigned: 'unsigned',
  malformed: 'malformed',
  otherCluster: 'other-cluster',
  otherVersion: 'other-version',
} as const;

export type DropReasonName = (typeof DropReason)[keyof typeof DropReason];
