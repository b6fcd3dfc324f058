import type { Member } from '@daisyferry/model/member';
import type { PolicyDelta } from '@daisyferry/model/policy';
import type { PolicyReplica } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import type { MemberTableFetcher } from './member-table-fetcher';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import { policyDeltaSchema, statusRevisionSchema } from './rpc-schemas';

const PEERS_QUERIED = 3;
const STATUS_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 10_000;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;

/** Policies that a joining member reads from the store. */
export interface StoredPolicyReader {
  /** Greatest accepted revision. */
  greatestRevision(): Promise<StoreResult<number>>;
  /** All policies. */
  readAll(): Promise<StoreResult<PolicyDelta>>;
}

export interface BootstrapOptions {
  readonly replica: PolicyReplica;
  readonly members: MemberTableFetcher;
  readonly store: StoredPolicyReader;
  readonly rpc: PeerRpc;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Called after each delta applied. */
  readonly onApplied: (revision: number) => void;
  /** Called once, when the daemon is ready to admit calls. */
  readonly onReady: () => void;
}

/** Number of requests made until the daemon was ready. */
export interface BootstrapReport {
  attempts: number;
  storeReads: number;
  peerCalls: number;
}

interface PeerRevision {
  readonly peer: Member;
  readonly revision: number;
}

/**
 * Brings a joining member up to date. The daemon admits no call before it has applied the greatest
 * revision reported by the store and several ready peers. Either source suffices while the other
 * does not respond; without both, the daemon stays not ready and retries. Peers that are not ready
 * themselves are ignored.
 */
export class BootstrapTask {
  readonly report: BootstrapReport = { attempts: 0, storeReads: 0, peerCalls: 0 };

  private retryDelayMs = FIRST_RETRY_DELAY_MS;

  private hasMembers = false;

  private isStopped = false;

  constructor(private readonly options: BootstrapOptions) {}

  /** Retries until the daemon is ready. */
  start(): void {
    this.attempt().then(
      (isReady) => this.finishAttempt(isReady),
      () => this.finishAttempt(false),
    );
  }

  stop(): void {
    this.isStopped = true;
  }

  private finishAttempt(isReady: boolean): void {
    if (this.isStopped) return;
    const { replica, random, scheduler, onReady } = this.options;
    if (isReady) {
      replica.markReady();
      onReady();
      return;
    }
    const waitMs = this.retryDelayMs * (0.5 + random());
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
    scheduler.after(waitMs, () => this.start());
  }

  private async attempt(): Promise<boolean> {
    this.report.attempts += 1;
    const [stored, peers] = await Promise.all([this.queryStore(), this.queryPeers()]);
    if (stored === undefined && peers.length === 0) return false;
    const targetRevision = Math.max(stored ?? 0, ...peers.map(({ revision }) => revision));
    await this.fetchMembers(peers.length > 0);
    await this.fetchPolicies(targetRevision, peers);
    return (
      this.options.replica.revision >= targetRevision && (this.hasMembers || peers.length === 0)
    );
  }

  private async queryStore(): Promise<number | undefined> {
    this.report.storeReads += 1;
    const result = await this.options.store.greatestRevision();
    return result.ok ? result.value : undefined;
  }

  private async queryPeers(): Promise<PeerRevision[]> {
    const queried = new Set<string>();
    const calls: Promise<PeerRevision | undefined>[] = [];
    for (let count = 0; count < PEERS_QUERIED; count += 1) {
      const peer = this.options.members.randomPeer(queried);
      if (peer === undefined) break;
      queried.add(peer.id.name);
      calls.push(this.queryPeer(peer));
    }
    const replies = await Promise.all(calls);
    return replies.filter((reply) => reply !== undefined);
  }

  private async queryPeer(peer: Member): Promise<PeerRevision | undefined> {
    this.report.peerCalls += 1;
    const { rpc } = this.options;
    const result = await rpc.call(peer, PeerMethod.statusRevision, {}, STATUS_TIMEOUT_MS);
    const status = statusRevisionSchema.safeParse(result.ok ? result.value : undefined);
    if (!status.success || !status.data.ready) return undefined;
    return { peer, revision: status.data.revision };
  }

  private async fetchMembers(hasPeers: boolean): Promise<void> {
    if (this.hasMembers || !hasPeers) return;
    this.hasMembers = await this.options.members.fetchTable();
  }

  private async fetchPolicies(
    targetRevision: number,
    peers: readonly PeerRevision[],
  ): Promise<void> {
    const newestFirst = [...peers].sort((left, right) => right.revision - left.revision);
    for (const { peer, revision } of newestFirst) {
      if (this.options.replica.revision >= targetRevision) return;
      if (revision > this.options.replica.revision) await this.pullFrom(peer);
    }
    if (this.options.replica.revision >= targetRevision) return;
    this.report.storeReads += 1;
    const result = await this.options.store.readAll();
    if (result.ok) this.apply(result.value);
  }

  private async pullFrom(peer: Member): Promise<void> {
    this.report.peerCalls += 1;
    const { replica, rpc } = this.options;
    const params = { fromRevision: replica.revision };
    const result = await rpc.call(peer, PeerMethod.policyDelta, params, PULL_TIMEOUT_MS);
    const delta = policyDeltaSchema.safeParse(result.ok ? result.value : undefined);
    if (delta.success) this.apply(delta.data);
  }

  private apply(delta: PolicyDelta): void {
    const { replica, onApplied } = this.options;
    if (replica.apply(delta) === 'applied') onApplied(replica.revision);
  }
}
