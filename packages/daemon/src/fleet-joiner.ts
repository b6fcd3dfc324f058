import { MemberTableFetcher } from '@daisyferry/membership/member-table-fetcher';
import { BootstrapTask } from '@daisyferry/membership/bootstrap-task';
import { SeedSlots } from '@daisyferry/membership/seed-slots';
import type { Timer } from '@daisyferry/model/scheduler';
import type { ControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';

export interface FleetJoinerParts extends Pick<
  DaemonBase,
  'settings' | 'self' | 'store' | 'rpc' | 'scheduler' | 'random' | 'logger'
> {
  readonly control: ControlPlane;
}

const SEED_READ_RETRY_MS = 1_000;
const SEED_READ_MAX_RETRY_MS = 30_000;
const LEASE_CHECK_MS = 1_000;

/**
 * Joins a daemon to the fleet: finds peers, learns the greatest policy revision before any call is
 * admitted, and claims a seed slot if one is free. The holder of a slot also reads the store.
 */
export class FleetJoiner {
  private readonly slots: SeedSlots;

  private readonly bootstrap: BootstrapTask;

  private readonly timers = new Set<Timer>();

  private stopped = false;

  private seedRetryMs = SEED_READ_RETRY_MS;

  constructor(private readonly parts: FleetJoinerParts) {
    const { settings, self, control, store, rpc, scheduler, random, logger } = parts;
    const { membership, policies, policyStore } = control;
    this.slots = new SeedSlots({
      store,
      cluster: settings.cluster,
      dataCentre: settings.dataCentre,
      holder: `${self.name}/${self.incarnation}`,
      timeoutMs: settings.store.timeoutMs,
      random,
      nowMs: () => scheduler.nowMs(),
      dataCentreMembers: () => membership.table.dataCentreCounts(settings.dataCentre).members,
    });
    const members = new MemberTableFetcher({
      selfName: self.name,
      table: membership.table,
      rpc,
      random,
      onMembers: (statuses) => membership.mergeMembers(statuses),
    });
    membership.setTableFetcher(() => {
      members.fetchTable().catch((error: unknown) => this.logError(error));
    });
    this.bootstrap = new BootstrapTask({
      replica: policies,
      members,
      store: {
        greatestRevision: async () => {
          const head = await policyStore.readHead();
          return head.ok ? { ok: true, value: head.value.revision } : head;
        },
        readAll: async () => {
          const read = await policyStore.readSince(0);
          return read.ok ? { ok: true, value: read.value.delta } : read;
        },
      },
      rpc,
      scheduler,
      random,
      onApplied: (revision) => membership.announcePolicyRevision(revision),
      onReady: () =>
        logger.info({ revision: policies.revision, ...this.bootstrap.report }, 'ready'),
    });
  }

  start(): void {
    const { settings, control } = this.parts;
    if (settings.seeds.length > 0) control.membership.join(settings.seeds);
    this.findPeers().then(
      () => this.bootstrap.start(),
      () => this.bootstrap.start(),
    );
    this.maintainSeedSlot();
    this.updateStoreReader();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.bootstrap.stop();
    this.parts.control.reader.stop();
    for (const timer of this.timers) timer.cancel();
    await this.slots.release();
  }

  /** Reads the seeds; retries in the background with exponential backoff while no peer is known. */
  private async findPeers(): Promise<void> {
    const { reachable, seeds } = await this.slots.readSeeds();
    if (this.stopped) return;
    const { settings, control } = this.parts;
    if (seeds.length > 0) control.membership.join([...settings.seeds, ...seeds]);
    if (reachable && control.membership.table.liveCount > 1) return;
    const waitMs = this.seedRetryMs * (0.5 + this.parts.random());
    this.seedRetryMs = Math.min(SEED_READ_MAX_RETRY_MS, this.seedRetryMs * 2);
    this.schedule(waitMs, () => {
      this.findPeers().catch((error: unknown) => this.logError(error));
    });
  }

  private maintainSeedSlot(): void {
    const { selfMember } = this.parts.control.membership;
    this.slots.renewOrClaim({ address: selfMember.address, port: selfMember.gossipPort }).then(
      (waitMs) => this.schedule(waitMs, () => this.maintainSeedSlot()),
      (error: unknown) => this.logError(error),
    );
  }

  /** Reads the store while this daemon holds a seed slot; stops once its lease may have expired. */
  private updateStoreReader(): void {
    const { control, scheduler } = this.parts;
    if (this.slots.holdsSlot(scheduler.nowMs())) control.reader.start();
    else control.reader.stop();
    this.schedule(LEASE_CHECK_MS, () => this.updateStoreReader());
  }

  private schedule(delayMs: number, action: () => void): void {
    if (this.stopped) return;
    const timer = this.parts.scheduler.after(delayMs, () => {
      this.timers.delete(timer);
      action();
    });
    this.timers.add(timer);
  }

  private logError(error: unknown): void {
    this.parts.logger.error({ error: String(error) }, 'joining the fleet failed');
  }
}
