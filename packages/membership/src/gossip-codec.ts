import { createHmac, timingSafeEqual } from 'node:crypto';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import { z } from 'zod';
import type {
  BucketDigest,
  BucketListing,
  DropReasonName,
  GossipMessage,
  RefWithRefutations,
} from './gossip-message';
import {
  DropReason,
  GOSSIP_PROTOCOL_VERSION,
  GossipMethod,
  MAX_DATAGRAM_BYTES,
} from './gossip-message';
import { MEMBER_REF_CHARACTERS } from './member-ref';
import { memberRowSchema } from './member-row';

/** Length of the truncated HMAC-SHA-256 that precedes a signed datagram. */
export const SIGNATURE_BYTES = 16;

const MAX_LIST_ITEMS = 256;
const MAX_BUCKET_BITS = 9;

const ref = z.string().length(MEMBER_REF_CHARACTERS);
const count = z.int().min(0);
const refPairs = z.array(z.union([ref, count])).max(2 * MAX_LIST_ITEMS);
const bits = z.int().min(0).max(MAX_BUCKET_BITS);
const index = z
  .int()
  .min(0)
  .max(2 ** MAX_BUCKET_BITS - 1);

const envelopeSchema = z.strictObject({
  jsonrpc: z.literal('2.0'),
  method: z.enum(GossipMethod),
  params: z.array(z.unknown()).min(2),
});

const bodySchema = z.tuple([
  z.string(),
  z.literal(GOSSIP_PROTOCOL_VERSION),
  ref,
  count,
  count,
  z.union([ref, z.literal('')]),
  z.tuple([refPairs, refPairs, refPairs]),
  z.array(memberRowSchema).max(MAX_LIST_ITEMS),
  z.array(ref).max(MAX_LIST_ITEMS),
  z.union([z.tuple([]), z.tuple([bits, index, z.uint32()])]),
  z.union([z.tuple([]), z.tuple([bits, index, z.union([z.literal(0), z.literal(1)]), refPairs])]),
]);

export type DecodeResult =
  | { readonly ok: true; readonly message: GossipMessage }
  | { readonly ok: false; readonly reason: DropReasonName };

function flattenPairs(pairs: readonly RefWithRefutations[]): (string | number)[] {
  return pairs.flatMap(([name, refutations]) => [name, refutations]);
}

function toPairs(flat: readonly (string | number)[]): RefWithRefutations[] | undefined {
  const pairs: RefWithRefutations[] = [];
  for (let at = 0; at < flat.length; at += 2) {
    const name = flat[at];
    const refutations = flat[at + 1];
    if (typeof name !== 'string' || typeof refutations !== 'number') return undefined;
    pairs.push([name, refutations]);
  }
  return pairs;
}

function parseDigest(tuple: readonly number[]): BucketDigest | undefined {
  const [bitCount, bucket, digest] = tuple;
  if (bitCount === undefined || bucket === undefined || digest === undefined) return undefined;
  return { bits: bitCount, index: bucket, digest };
}

function parseListing(
  tuple: [] | [number, number, 0 | 1, (string | number)[]],
): BucketListing | undefined | 'malformed' {
  if (tuple.length === 0) return undefined;
  const entries = toPairs(tuple[3]);
  if (entries === undefined) return 'malformed';
  return { bits: tuple[0], index: tuple[1], complete: tuple[2] === 1, entries };
}

function sign(text: Buffer, key: Buffer): Buffer {
  return createHmac('sha256', key).update(text).digest().subarray(0, SIGNATURE_BYTES);
}

/** Encodes a message as a JSON-RPC 2.0 notification, preceded by a signature if a key is set. */
export function encodeGossip(message: GossipMessage, key?: Buffer): Buffer {
  const { digest, listing } = message;
  const params = [
    message.cluster,
    GOSSIP_PROTOCOL_VERSION,
    message.senderRef,
    message.revision,
    message.sequence,
    message.probedRef,
    [flattenPairs(message.alive), flattenPairs(message.suspect), flattenPairs(message.dead)],
    message.records,
    message.requestedRefs,
    digest ? [digest.bits, digest.index, digest.digest] : [],
    listing
      ? [listing.bits, listing.index, listing.complete ? 1 : 0, flattenPairs(listing.entries)]
      : [],
  ];
  const text = Buffer.from(JSON.stringify(createJSONRPCNotification(message.method, params)));
  return key === undefined ? text : Buffer.concat([sign(text, key), text]);
}

function verifySignature(payload: Buffer, key: Buffer | undefined): Buffer | undefined {
  if (key === undefined) return payload;
  if (payload.length <= SIGNATURE_BYTES) return undefined;
  const text = payload.subarray(SIGNATURE_BYTES);
  const signature = payload.subarray(0, SIGNATURE_BYTES);
  return timingSafeEqual(signature, sign(text, key)) ? text : undefined;
}

function parseJson(text: Buffer): unknown {
  try {
    return JSON.parse(text.toString('utf8'));
  } catch {
    return undefined;
  }
}

function dropped(reason: DropReasonName): DecodeResult {
  return { ok: false, reason };
}

/** Decodes a datagram; returns a drop reason instead of throwing if it is not acceptable. */
export function decodeGossip(payload: Buffer, cluster: string, key?: Buffer): DecodeResult {
  if (payload.length > MAX_DATAGRAM_BYTES) return dropped(DropReason.oversized);
  const text = verifySignature(payload, key);
  if (text === undefined) return dropped(DropReason.unsigned);
  const envelope = envelopeSchema.safeParse(parseJson(text));
  if (!envelope.success) return dropped(DropReason.malformed);
  const { method, params } = envelope.data;
  if (typeof params[0] !== 'string') return dropped(DropReason.malformed);
  if (params[0] !== cluster) return dropped(DropReason.otherCluster);
  if (params[1] !== GOSSIP_PROTOCOL_VERSION) return dropped(DropReason.otherVersion);
  const body = bodySchema.safeParse(params);
  if (!body.success) return dropped(DropReason.malformed);
  const [
    ,
    ,
    senderRef,
    revision,
    sequence,
    probedRef,
    states,
    records,
    requestedRefs,
    digest,
    listing,
  ] = body.data;
  const [alive, suspect, dead] = states.map(toPairs);
  const list = parseListing(listing);
  if (!alive || !suspect || !dead || list === 'malformed') return dropped(DropReason.malformed);
  const bucket = parseDigest(digest);
  return {
    ok: true,
    message: {
      method,
      cluster,
      senderRef,
      revision,
      sequence,
      probedRef,
      alive,
      suspect,
      dead,
      records,
      requestedRefs,
      ...(bucket && { digest: bucket }),
      ...(list && { listing: list }),
    },
  };
}
