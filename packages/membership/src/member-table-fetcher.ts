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
  readonly onMembers: (facts: readonly MemberStatus[]) => void;
}

/** Reads the whole member table page by page from several peers. */
export class MemberTableFetcher {
  private current: Promise<boolean> | undefined;

  constructor(private readonly options: MemberTableFetcherOptions) {}

  /** Fetches all pages, or waits for the fetch under way. */
  async fetchTable(): Promise<boolean> {
    this.current ??= this.fetchPages();
    const isComplete = await this.current;
    this.current = undefined;
    return isComplete;
  }

  /** Resolves to false when a page could not be had from any peer tried. */
  private async fetchPages(): Promise<boolean> {
    const first = await this.fetchPage(MAX_DIGEST_BITS, 0);
    if (first === undefined) return false;
    const wanted = Math.ceil(Math.log2(Math.max(1, first.total / ROWS_PER_PAGE)));
    const bits = Math.min(MAX_DIGEST_BITS, wanted);
    const pages = Array.from({ length: 2 ** bits }, (_, index) => index);
    let isComplete = true;
    const work = async (): Promise<void> => {
      for (let index = pages.shift(); index !== undefined; index = pages.shift()) {
        const page = await this.fetchPage(bits, index);
        if (page === undefined) isComplete = false;
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_PAGES }, work));
    return isComplete;
  }

  /** A random member of the table that is alive, other than this daemon. */
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
      const page = await this.fetchFrom(peer, bits, index);
      if (page !== undefined) return page;
    }
    return undefined;
  }

  private async fetchFrom(
    peer: Member,
    bits: number,
    index: number,
  ): Promise<MembersSnapshot | undefined> {
    const { rpc, onMembers: learn } = this.options;
    const params = { bits, index };
    const result = await rpc.call(peer, PeerMethod.membersSnapshot, params, PAGE_TIMEOUT_MS);
    const page = membersSnapshotSchema.safeParse(result.ok ? result.value : undefined);
    if (!page.success) return undefined;
    learn(page.data.rows.map(fromMemberRow));
    return page.data;
  }
}
