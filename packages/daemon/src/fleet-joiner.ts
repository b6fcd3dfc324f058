import { MemberTableFetcher } from '@daisyferry/membership/member-table-fetcher';
import { BootstrapTask } from '@daisyferry/membership/bootstrap-task';
import { SeedSlots } from '@daisyferry/membership/seed-slots';
import type { Timer } from '@daisyferry/model/scheduler';
import type { ControlPlane } from './control-plane';
import type { DaemonBase } from './daemon-base';

export interface FleetStartParts extends Pick<
  DaemonBase,
  'settings' | 'self' | 'store' | 'rpc' | 'scheduler' | 'random' | 'logger'
> {
  readonly control: ControlPlane;
}

const SEED_READ_RETRY_MS = 1_000;
const SEED_READ_MAX_RETRY_MS = 30_000;
const LEASE_CHECK_MS = 1_000;

/**
 * Brings a daemon into the fleet: finds peers, learns the greatest policy revision before any call
 * is admitted, and takes a seed slot where one is free. A holder of a slot also reads the store.
 */
export class FleetStart {
  private readonly slots: SeedSlots;

  private readonly newcomer: BootstrapTask;

  private readonly timers = new Set<Timer>();

  private stopped = false;

  private seedRetryMs = SEED_READ_RETRY_MS;

  constructor(private readonly parts: FleetStartParts) {
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
      onMembers: (facts) => membership.mergeMembers(facts),
    });
    membership.setTableFetcher(() => {
      members.fetchTable().catch((error: unknown) => this.report(error));
    });
    this.newcomer = new BootstrapTask({
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
      onReady: () => logger.info({ revision: policies.revision, ...this.newcomer.report }, 'ready'),
    });
  }

  start(): void {
    const { settings, control } = this.parts;
    if (settings.seeds.length > 0) control.membership.join(settings.seeds);
    this.findPeers().then(
      () => this.newcomer.start(),
      () => this.newcomer.start(),
    );
    this.stepSlots();
    this.followLease();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.newcomer.stop();
    this.parts.control.reader.stop();
    for (const timer of this.timers) timer.cancel();
    await this.slots.release();
  }

  /** Reads the seeds; goes on in the background, ever more rarely, while no peer is known. */
  private async findPeers(): Promise<void> {
    const { reachable, seeds } = await this.slots.readSeeds();
    if (this.stopped) return;
    const { settings, control } = this.parts;
    if (seeds.length > 0) control.membership.join([...settings.seeds, ...seeds]);
    if (reachable && control.membership.table.liveCount > 1) return;
    const waitMs = this.seedRetryMs * (0.5 + this.parts.random());
    this.seedRetryMs = Math.min(SEED_READ_MAX_RETRY_MS, this.seedRetryMs * 2);
    this.later(waitMs, () => {
      this.findPeers().catch((error: unknown) => this.report(error));
    });
  }

  private stepSlots(): void {
    const { selfMember } = this.parts.control.membership;
    this.slots.renewOrClaim({ address: selfMember.address, port: selfMember.gossipPort }).then(
      (waitMs) => this.later(waitMs, () => this.stepSlots()),
      (error: unknown) => this.report(error),
    );
  }

  /** The holder of a slot reads the store; one whose lease may have lapsed stops at once. */
  private followLease(): void {
    const { control, scheduler } = this.parts;
    if (this.slots.holdsSlot(scheduler.nowMs())) control.reader.start();
    else control.reader.stop();
    this.later(LEASE_CHECK_MS, () => this.followLease());
  }

  private later(delayMs: number, action: () => void): void {
    if (this.stopped) return;
    const timer = this.parts.scheduler.after(delayMs, () => {
      this.timers.delete(timer);
      action();
    });
    this.timers.add(timer);
  }

  private report(error: unknown): void {
    this.parts.logger.error({ error: String(error) }, 'fleet start failed');
  }
}
