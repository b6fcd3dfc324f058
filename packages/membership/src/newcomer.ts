import type { Member } from '@daisyferry/model/member';
import type { PolicyDelta } from '@daisyferry/model/policy';
import type { PolicyReplica } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import type { MemberFetch } from './member-fetch';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import { policyDeltaSchema, statusRevisionSchema } from './rpc-schemas';

const PEERS_ASKED = 3;
const ASK_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 10_000;
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 5_000;

/** What a newcomer reads from the store. */
export interface StoredPolicies {
  /** Greatest accepted revision. */
  greatestRevision(): Promise<StoreResult<number>>;
  /** All policies. */
  readAll(): Promise<StoreResult<PolicyDelta>>;
}

export interface NewcomerOptions {
  readonly replica: PolicyReplica;
  readonly members: MemberFetch;
  readonly store: StoredPolicies;
  readonly rpc: PeerRpc;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Called after each delta applied. */
  readonly onApplied: (revision: number) => void;
  /** Called once, when the daemon may admit calls. */
  readonly onReady: () => void;
}

/** What a newcomer fetched until it was ready. */
export interface NewcomerReport {
  attempts: number;
  storeReads: number;
  peerCalls: number;
}

interface PeerRevision {
  readonly peer: Member;
  readonly revision: number;
}

/**
 * Start of a daemon that knows nothing. It admits no call before it holds the greatest revision
 * that the store and several ready peers name. Either of the two sources suffices while the other
 * does not answer; with neither it stays not ready and tries again. Peers that are not ready
 * themselves count for nothing.
 */
export class Newcomer {
  readonly report: NewcomerReport = { attempts: 0, storeReads: 0, peerCalls: 0 };

  private retryMs = FIRST_RETRY_MS;

  private hasMembers = false;

  private isStopped = false;

  constructor(private readonly options: NewcomerOptions) {}

  /** Tries until the daemon is ready. */
  start(): void {
    this.attempt().then(
      (isReady) => this.next(isReady),
      () => this.next(false),
    );
  }

  stop(): void {
    this.isStopped = true;
  }

  private next(isReady: boolean): void {
    if (this.isStopped) return;
    const { replica, random, scheduler, onReady } = this.options;
    if (isReady) {
      replica.markReady();
      onReady();
      return;
    }
    const waitMs = this.retryMs * (0.5 + random());
    this.retryMs = Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
    scheduler.after(waitMs, () => this.start());
  }

  private async attempt(): Promise<boolean> {
    this.report.attempts += 1;
    const [stored, peers] = await Promise.all([this.askStore(), this.askPeers()]);
    if (stored === undefined && peers.length === 0) return false;
    const wanted = Math.max(stored ?? 0, ...peers.map(({ revision }) => revision));
    await this.fetchMembers(peers.length > 0);
    await this.fetchPolicies(wanted, peers);
    return this.options.replica.revision >= wanted && (this.hasMembers || peers.length === 0);
  }

  private async askStore(): Promise<number | undefined> {
    this.report.storeReads += 1;
    const result = await this.options.store.greatestRevision();
    return result.ok ? result.value : undefined;
  }

  private async askPeers(): Promise<PeerRevision[]> {
    const asked = new Set<string>();
    const calls: Promise<PeerRevision | undefined>[] = [];
    for (let count = 0; count < PEERS_ASKED; count += 1) {
      const peer = this.options.members.randomPeer(asked);
      if (peer === undefined) break;
      asked.add(peer.id.name);
      calls.push(this.askPeer(peer));
    }
    const answers = await Promise.all(calls);
    return answers.filter((answer) => answer !== undefined);
  }

  private async askPeer(peer: Member): Promise<PeerRevision | undefined> {
    this.report.peerCalls += 1;
    const { rpc } = this.options;
    const result = await rpc.call(peer, PeerMethod.statusRevision, {}, ASK_TIMEOUT_MS);
    const status = statusRevisionSchema.safeParse(result.ok ? result.value : undefined);
    if (!status.success || !status.data.ready) return undefined;
    return { peer, revision: status.data.revision };
  }

  private async fetchMembers(hasPeers: boolean): Promise<void> {
    if (this.hasMembers || !hasPeers) return;
    this.hasMembers = await this.options.members.run();
  }

  private async fetchPolicies(wanted: number, peers: readonly PeerRevision[]): Promise<void> {
    const greatestFirst = [...peers].sort((left, right) => right.revision - left.revision);
    for (const { peer, revision } of greatestFirst) {
      if (this.options.replica.revision >= wanted) return;
      if (revision > this.options.replica.revision) await this.pullFrom(peer);
    }
    if (this.options.replica.revision >= wanted) return;
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
