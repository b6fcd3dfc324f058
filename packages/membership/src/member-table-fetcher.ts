import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { MemberStatus } from './member-row';
import { fromMemberRow } from './member-row';
import type { MemberTable } from './member-table';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import type { MembersSnapshot } from './rpc-schemas';
import { membersSnapshotSchema } from './rpc-schemas';
import { MAX_DIGEST_BITS } from './table-digest';

const ROWS_PER_PAGE = 128;
const PAGE_TIMEOUT_MS = 3_000;
const ATTEMPTS_PER_PAGE = 4;
const CONCURRENT_PAGES = 2;

export interface MemberTableFetcherOptions {
  readonly selfName: string;
  readonly table: MemberTable;
  readonly rpc: PeerRpc;
  readonly random: RandomSource;
  /** Receives the members of each page. */
  readonly onMembers: (statuses: readonly MemberStatus[]) => void;
}

/** Fetches the whole member table page by page from several peers. */
export class MemberTableFetcher {
  private fetchInProgress: Promise<boolean> | undefined;

  constructor(private readonly options: MemberTableFetcherOptions) {}

  /** Fetches all pages, or waits for the fetch in progress. Resolves to true if it is complete. */
  async fetchTable(): Promise<boolean> {
    this.fetchInProgress ??= this.fetchPages();
    const isComplete = await this.fetchInProgress;
    this.fetchInProgress = undefined;
    return isComplete;
  }

  /** Resolves to false if a page could not be fetched from any of the tried peers. */
  private async fetchPages(): Promise<boolean> {
    const first = await this.fetchPage(MAX_DIGEST_BITS, 0);
    if (first === undefined) return false;
    const wantedBits = Math.ceil(Math.log2(Math.max(1, first.total / ROWS_PER_PAGE)));
    const bits = Math.min(MAX_DIGEST_BITS, wantedBits);
    const pages = Array.from({ length: 2 ** bits }, (_, index) => index);
    let isComplete = true;
    const runWorker = async (): Promise<void> => {
      for (let index = pages.shift(); index !== undefined; index = pages.shift()) {
        const page = await this.fetchPage(bits, index);
        if (page === undefined) isComplete = false;
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_PAGES }, runWorker));
    return isComplete;
  }

  /** Returns a random member that is alive, other than this daemon and the excluded members. */
  randomPeer(excluded: ReadonlySet<string>): Member | undefined {
    const peers: Member[] = [];
    for (const { member, reachability } of this.options.table.allRecords()) {
      const isOther = member.id.name !== this.options.selfName && !excluded.has(member.id.name);
      if (isOther && reachability === Reachability.alive) peers.push(member);
    }
    return peers[Math.floor(this.options.random() * peers.length)];
  }

  private async fetchPage(bits: number, index: number): Promise<MembersSnapshot | undefined> {
    const tried = new Set<string>();
    for (let attempt = 0; attempt < ATTEMPTS_PER_PAGE; attempt += 1) {
      const peer = this.randomPeer(tried);
      if (peer === undefined) return undefined;
      tried.add(peer.id.name);
      const page = await this.fetchPageFrom(peer, bits, index);
      if (page !== undefined) return page;
    }
    return undefined;
  }

  private async fetchPageFrom(
    peer: Member,
    bits: number,
    index: number,
  ): Promise<MembersSnapshot | undefined> {
    const { rpc, onMembers } = this.options;
    const params = { bits, index };
    const result = await rpc.call(peer, PeerMethod.membersSnapshot, params, PAGE_TIMEOUT_MS);
    const page = membersSnapshotSchema.safeParse(result.ok ? result.value : undefined);
    if (!page.success) return undefined;
    onMembers(page.data.rows.map(fromMemberRow));
    return page.data;
  }
}
