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
 * - `relay` asks the receiver to ping the member `probedRef` and to forward its `ack`.
 * - `push` contains only updates.
 */
export const GossipMethod = {
  ping: 'ping',
  ack: 'ack',
  relay: 'relay',
  push: 'push',
} as const;

export type GossipMethodName = (typeof GossipMethod)[keyof typeof GossipMethod];

/** Reference of a record and the record's number of refutations. */
export type RefWithRefutations = readonly [ref: string, refutations: number];

/** Reference of a record and the rank of its state; encoded like `RefWithRefutations`. */
export type RefWithRank = readonly [ref: string, rank: number];

/**
 * Digest of one bucket of the table. The table is partitioned into 2^`bits` buckets by the leading
 * bits of the references; `index` is the number that these bits form.
 */
export interface BucketDigest {
  readonly bits: number;
  readonly index: number;
  /** Sum, modulo 2^32, over the references and state ranks in the bucket. */
  readonly digest: number;
}

/** References and state ranks in one bucket, to repair differences between two tables. */
export interface BucketListing {
  readonly bits: number;
  readonly index: number;
  /** False if not all entries of the bucket fit the datagram. */
  readonly complete: boolean;
  readonly entries: readonly RefWithRank[];
}

/** One datagram. */
export interface GossipMessage {
  readonly method: GossipMethodName;
  readonly cluster: string;
  /** Reference of the sender's own record. */
  readonly senderRef: string;
  /** Greatest policy revision that the sender has applied. */
  readonly revision: number;
  /** Correlates a ping with its ack; 0 in a push. */
  readonly sequence: number;
  /**
   * Reference of the probed member. Empty in a push, in a ping to a seed or to another process with
   * the sender's name, and in the ack of such a ping.
   */
  readonly probedRef: string;
  readonly alive: readonly RefWithRefutations[];
  readonly suspect: readonly RefWithRefutations[];
  readonly dead: readonly RefWithRefutations[];
  readonly records: readonly MemberRow[];
  /** References of the records that the sender requests. */
  readonly requestedRefs: readonly string[];
  readonly digest?: BucketDigest;
  readonly listing?: BucketListing;
}

/** Why a datagram was dropped. */
export const DropReason = {
  oversized: 'oversized',
  /** The signature is missing or wrong. */
  unsigned: 'unsigned',
  malformed: 'malformed',
  otherCluster: 'other-cluster',
  otherVersion: 'other-version',
} as const;

export type DropReasonName = (typeof DropReason)[keyof typeof DropReason];
