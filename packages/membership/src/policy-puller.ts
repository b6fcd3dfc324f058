import type { Member } from '@daisyferry/model/member';
import type { PolicyReplica } from '@daisyferry/model/policy-table';
import { ApplyResult } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import { policyDeltaSchema } from './rpc-schemas';

const MAX_SOURCES = 8;
const PULL_TIMEOUT_MS = 3_000;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;

export interface PolicyPullerOptions {
  readonly replica: PolicyReplica;
  readonly rpc: PeerRpc;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Called after each applied delta, to propagate the new revision. */
  readonly onApplied: (revision: number) => void;
}

/** Counters of policy pulls since the start. */
export interface PolicyPullerCounters {
  pulls: number;
  applied: number;
  refusedBusy: number;
  failed: number;
  invalid: number;
}

/**
 * Pulls policies from peers: one pull at a time, from a peer that announced the wanted revision; if
 * it fails, from the next such peer. Changes that arrive in a burst are fetched together.
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

  private isPulling = false;

  private retryDelayMs = FIRST_RETRY_DELAY_MS;

  constructor(private readonly options: PolicyPullerOptions) {}

  /** Handles the announcement of a revision by a member; ignored before the bootstrap is done. */
  handleRumor(revision: number, from: Member): void {
    const { replica } = this.options;
    if (!replica.ready || revision <= replica.revision) return;
    if (revision > this.wantedRevision) {
      this.wantedRevision = revision;
      this.sources.clear();
    }
    this.addSource(from);
    if (!this.isPulling) this.startPull();
  }

  private addSource(member: Member): void {
    this.sources.delete(member.id.name);
    if (this.sources.size >= MAX_SOURCES) return;
    this.sources.set(member.id.name, member);
  }

  private startPull(): void {
    const source = this.takeSource();
    if (source === undefined) return;
    this.isPulling = true;
    this.pull(source).then(
      (succeeded) => this.finishPull(succeeded),
      () => this.finishPull(false),
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

  private finishPull(succeeded: boolean): void {
    this.isPulling = false;
    if (succeeded) {
      this.retryDelayMs = FIRST_RETRY_DELAY_MS;
      this.startPull();
      return;
    }
    this.isPulling = true;
    const waitMs = this.retryDelayMs * (0.5 + this.options.random());
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
    this.options.scheduler.after(waitMs, () => {
      this.isPulling = false;
      this.startPull();
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
    return this.applyDelta(result.value);
  }

  private applyDelta(value: unknown): boolean {
    const delta = policyDeltaSchema.safeParse(value);
    if (!delta.success) {
      this.counters.invalid += 1;
      return false;
    }
    const applyResult = this.options.replica.apply(delta.data);
    if (applyResult !== ApplyResult.applied) return applyResult === ApplyResult.stale;
    this.counters.applied += 1;
    this.options.onApplied(this.options.replica.revision);
    return true;
  }
}
