import { Reachability } from '@daisyferry/model/member';
import { encodeGossip, SIGNATURE_BYTES } from './gossip-codec';
import type {
  BucketDigest,
  BucketListing,
  GossipMessage,
  RefWithRefutations,
} from './gossip-message';
import { GossipMethod, MAX_DATAGRAM_BYTES } from './gossip-message';
import type { MemberRecord } from './member-record';
import type { MemberRow } from './member-row';
import { toMemberRow } from './member-row';
import type { PendingUpdate } from './update-queue';

/** Length of a reference in JSON with its quotes and separator. */
const REF_BYTES = 11;

/** Length of the fixed fields of a listing. */
const LISTING_HEADER_BYTES = 14;

function refPairBytes([, refutations]: RefWithRefutations): number {
  return REF_BYTES + String(refutations).length + 1;
}

export type MessageHead = Pick<
  GossipMessage,
  'method' | 'cluster' | 'senderRef' | 'revision' | 'sequence' | 'probedRef'
>;

interface Draft {
  alive: RefWithRefutations[];
  suspect: RefWithRefutations[];
  dead: RefWithRefutations[];
  records: MemberRow[];
  requestedRefs: string[];
  digest?: BucketDigest;
  listing?: BucketListing;
}

/** Writes one datagram up to a byte limit. */
export class MessageWriter {
  private readonly draft: Draft = {
    alive: [],
    suspect: [],
    dead: [],
    records: [],
    requestedRefs: [],
  };

  private readonly writtenNames = new Set<string>();

  private usedBytes: number;

  private readonly limitBytes: number;

  constructor(
    private readonly head: MessageHead,
    limitBytes: number,
    private readonly key: Buffer | undefined,
  ) {
    this.limitBytes = Math.min(limitBytes, MAX_DATAGRAM_BYTES);
    const signatureBytes = key === undefined ? 0 : SIGNATURE_BYTES;
    this.usedBytes = encodeGossip({ ...head, ...this.draft }).length + signatureBytes;
  }

  /** Bytes written so far, signature included. */
  get lengthBytes(): number {
    return this.usedBytes;
  }

  get isEmpty(): boolean {
    const { alive, suspect, dead, records, requestedRefs, listing } = this.draft;
    const rows =
      alive.length + suspect.length + dead.length + records.length + requestedRefs.length;
    return rows === 0 && listing === undefined;
  }

  /** Adds a queued update; dead members are sent by reference. Returns false if it does not fit. */
  addUpdate({ record, whole }: Pick<PendingUpdate, 'record' | 'whole'>): boolean {
    return whole && record.reachability !== Reachability.dead
      ? this.addRecord(record)
      : this.addState(record);
  }

  /** Adds a whole record regardless of its reachability; returns false if it does not fit. */
  addRecord(record: MemberRecord): boolean {
    const row = toMemberRow(record);
    return this.addOnce(record, JSON.stringify(row).length + 1, () => this.draft.records.push(row));
  }

  /** Adds the state of a member by reference; returns false if it does not fit. */
  addState(record: MemberRecord): boolean {
    const state: RefWithRefutations = [record.ref, record.refutations];
    const list = this.draft[record.reachability];
    return this.addOnce(record, refPairBytes(state), () => list.push(state));
  }

  /** Requests a record; returns false if it does not fit. */
  addRequestedRef(ref: string): boolean {
    if (!this.reserve(REF_BYTES)) return false;
    this.draft.requestedRefs.push(ref);
    return true;
  }

  /** Adds the digest of one bucket if it fits. */
  setDigest(digest: BucketDigest): void {
    if (this.reserve(JSON.stringify(Object.values(digest)).length)) this.draft.digest = digest;
  }

  /** Adds as many entries of a listing as fit. */
  setListing({ bits, index, entries }: Omit<BucketListing, 'complete'>): void {
    if (!this.reserve(LISTING_HEADER_BYTES)) return;
    const fittingEntries: RefWithRefutations[] = [];
    for (const entry of entries) {
      if (!this.reserve(refPairBytes(entry))) break;
      fittingEntries.push(entry);
    }
    this.draft.listing = {
      bits,
      index,
      complete: fittingEntries.length === entries.length,
      entries: fittingEntries,
    };
  }

  finish(): Buffer {
    return encodeGossip({ ...this.head, ...this.draft }, this.key);
  }

  private addOnce({ member }: MemberRecord, bytes: number, add: () => void): boolean {
    if (this.writtenNames.has(member.id.name)) return true;
    if (!this.reserve(bytes)) return false;
    this.writtenNames.add(member.id.name);
    add();
    return true;
  }

  private reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }
}

/** Head of a message that contains only updates. */
export function pushHead(cluster: string, senderRef: string, revision: number): MessageHead {
  return { method: GossipMethod.push, cluster, senderRef, revision, sequence: 0, probedRef: '' };
}
