import type { Member } from '@daisyferry/model/member';
import type { PolicyReplica } from '@daisyferry/model/policy-table';
import { ApplyResult } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import { policyDeltaSchema } from './rpc-schemas';

const MAX_SOURCES = 8;
const PULL_TIMEOUT_MS = 3_000;
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 5_000;

export interface PolicyPullerOptions {
  readonly replica: PolicyReplica;
  readonly rpc: PeerRpc;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Called after a delta was applied, so that the new revision is spread further. */
  readonly onApplied: (revision: number) => void;
}

/** Counts of policy pulls since the start. */
export interface PolicyPullerCounters {
  pulls: number;
  applied: number;
  refusedBusy: number;
  failed: number;
  invalid: number;
}

/**
 * Fetches policies that a peer is known to hold: one pull at a time, from a peer that announced the
 * wanted revision, from the next such peer when one fails. Changes that come in a burst are fetched
 * together.
 */
export class PolicyPuller {
  readonly counters: PolicyPullerCounters = {
    pulls: 0,
    applied: 0,
    refusedBusy: 0,
    failed: 0,
    invalid: 0,
  };

  private wantedRevision = 0;

  private readonly sources = new Map<string, Member>();

  private isBusy = false;

  private retryMs = FIRST_RETRY_MS;

  constructor(private readonly options: PolicyPullerOptions) {}

  /** Takes in that a member applies a revision. Before it is ready a daemon fetches by itself. */
  handleRumor(revision: number, from: Member): void {
    const { replica } = this.options;
    if (!replica.ready || revision <= replica.revision) return;
    if (revision > this.wantedRevision) {
      this.wantedRevision = revision;
      this.sources.clear();
    }
    this.addSource(from);
    if (!this.isBusy) this.start();
  }

  private addSource(member: Member): void {
    this.sources.delete(member.id.name);
    if (this.sources.size >= MAX_SOURCES) return;
    this.sources.set(member.id.name, member);
  }

  private start(): void {
    const source = this.takeSource();
    if (source === undefined) return;
    this.isBusy = true;
    this.pull(source).then(
      (succeeded) => this.finish(succeeded),
      () => this.finish(false),
    );
  }

  private takeSource(): Member | undefined {
    if (this.wantedRevision <= this.options.replica.revision) return undefined;
    const names = [...this.sources.keys()];
    const name = names[Math.floor(this.options.random() * names.length)] ?? '';
    const source = this.sources.get(name);
    this.sources.delete(name);
    return source;
  }

  private finish(succeeded: boolean): void {
    this.isBusy = false;
    if (succeeded) {
      this.retryMs = FIRST_RETRY_MS;
      this.start();
      return;
    }
    this.isBusy = true;
    const waitMs = this.retryMs * (0.5 + this.options.random());
    this.retryMs = Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
    this.options.scheduler.after(waitMs, () => {
      this.isBusy = false;
      this.start();
    });
  }

  private async pull(source: Member): Promise<boolean> {
    const { replica, rpc } = this.options;
    this.counters.pulls += 1;
    const params = { fromRevision: replica.revision };
    const result = await rpc.call(source, PeerMethod.policyDelta, params, PULL_TIMEOUT_MS);
    if (!result.ok) {
      this.counters[result.kind === 'busy' ? 'refusedBusy' : 'failed'] += 1;
      return false;
    }
    return this.apply(result.value);
  }

  private apply(value: unknown): boolean {
    const delta = policyDeltaSchema.safeParse(value);
    if (!delta.success) {
      this.counters.invalid += 1;
      return false;
    }
    const outcome = this.options.replica.apply(delta.data);
    if (outcome !== ApplyResult.applied) return outcome === ApplyResult.stale;
    this.counters.applied += 1;
    this.options.onApplied(this.options.replica.revision);
    return true;
  }
}
