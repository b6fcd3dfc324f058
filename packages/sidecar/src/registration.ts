import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import type { EventLog } from './event-log';

/** Prefix of the keys of the daemons' records. */
export const DAEMON_PREFIX = 'daisyferry/daemons/';

/** Time to live of a record that its daemon no longer renews; longer if the store requires it. */
const LEASE_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Time between two renewals; also the longest delay until a recovered store is used again. */
const RENEW_INTERVAL_MS = 1_200;
/** Delay after a failed call; it restores an expired record well within two seconds. */
const RETRY_DELAY_MS = 400;
const CALL_TIMEOUT_MS = 1_200;

/** Keeps this daemon's record in the store under a lease. */
export class Registration {
  private leaseId: string | undefined;

  private storedRevision = -1;

  private timer: NodeJS.Timeout | undefined;

  private isRunning = false;

  private isStopped = false;

  private isReachable = true;

  constructor(
    private readonly store: KeyValueStore,
    /** Shortest lease that the store grants. */
    private readonly minLeaseMs: number,
    private readonly ownRecord: () => DaemonRecord,
    /** Called when a call had no response, as connections to the store may be unresponsive. */
    private readonly onUnresponsiveStore: () => void,
    private readonly log: EventLog,
  ) {}

  /** Schedules a write of the record, as it has changed. */
  scheduleWrite(): void {
    this.schedule(0);
  }

  /** Schedules a new write of the record, as it was removed from the store or its lease expired. */
  scheduleRewrite(): void {
    this.storedRevision = -1;
    this.schedule(0);
  }

  /** Revokes the lease, so that the store removes the record at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    if (this.leaseId !== undefined) await this.store.revokeLease(this.leaseId, CALL_TIMEOUT_MS);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.renewAndReschedule().catch((error: unknown) =>
        this.log.warn('registration failed', { error: String(error) }),
      );
    }, delayMs);
  }

  private async renewAndReschedule(): Promise<void> {
    if (this.isRunning || this.isStopped) return;
    this.isRunning = true;
    const isRegistered = await this.renewOrWrite();
    this.isRunning = false;
    this.updateReachability(isRegistered);
    const isCurrent = this.storedRevision === this.ownRecord().revision;
    if (!isRegistered) this.schedule(RETRY_DELAY_MS);
    else this.schedule(isCurrent ? RENEW_INTERVAL_MS : 0);
  }

  private async renewOrWrite(): Promise<boolean> {
    if (this.leaseId !== undefined && this.storedRevision === this.ownRecord().revision) {
      const renewed = await this.store.renewLease(this.leaseId, CALL_TIMEOUT_MS);
      if (!renewed.ok) {
        if (renewed.kind === 'undecided') this.onUnresponsiveStore();
        return false;
      }
      if (renewed.value.remainingSeconds > 0) return true;
      this.leaseId = undefined;
      this.log.stateChange('lease expired');
    }
    return (await this.ensureLease()) && this.writeRecord();
  }

  private async ensureLease(): Promise<boolean> {
    if (this.leaseId !== undefined) return true;
    const leaseMs = Math.max(LEASE_MS, this.minLeaseMs);
    const granted = await this.store.grantLease(leaseMs / MS_PER_SECOND, CALL_TIMEOUT_MS);
    if (!granted.ok) return false;
    this.leaseId = granted.value.leaseId;
    return true;
  }

  private async writeRecord(): Promise<boolean> {
    const { leaseId } = this;
    if (leaseId === undefined) return false;
    const record = this.ownRecord();
    const key = `${DAEMON_PREFIX}${record.daemonId}`;
    const put = { kind: 'put', key, value: JSON.stringify(record), leaseId } as const;
    const written = await this.store.transact([], [put], CALL_TIMEOUT_MS);
    if (!written.ok) {
      // The lease may have expired; granting a new one costs only one call.
      this.leaseId = undefined;
      return false;
    }
    this.storedRevision = record.revision;
    this.log.stateChange('record stored', { revision: record.revision });
    return true;
  }

  private updateReachability(isReachable: boolean): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    if (isReachable) this.log.stateChange('store reachable again');
    else this.log.warn('store unreachable');
  }
}
