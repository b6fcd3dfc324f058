import type { DaemonRecord } from '@daisyferry/mesh/target-record';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import type { EventLog } from './event-log';

/** Keys of the daemons' records. */
export const DAEMON_PREFIX = 'daisyferry/daemons/';

/** Life of a record whose daemon no longer renews it, in ms; more where the store asks for more. */
const LEASE_MS = 4_000;
const MS_PER_S = 1_000;
/** Time between two renewals, in ms; also the longest wait after the store's return. */
const RENEW_MS = 1_200;
/** Pause after a call that failed, in ms: a lapsed record is back well within two seconds. */
const RETRY_MS = 400;
const CALL_TIMEOUT_MS = 1_200;

/** Keeps this daemon's record in the store, under a lease. */
export class Registration {
  private leaseId: string | undefined;

  private storedRevision = -1;

  private timer: NodeJS.Timeout | undefined;

  private isRunning = false;

  private isStopped = false;

  private isReachable = true;

  constructor(
    private readonly store: KeyValueStore,
    /** Least time to live that the store takes. */
    private readonly minLeaseMs: number,
    private readonly ownRecord: () => DaemonRecord,
    /** A call found no answer: connections to the store may have gone silent. */
    private readonly onSilence: () => void,
    private readonly log: EventLog,
  ) {}

  /** Writes the record as soon as possible, as it has changed. */
  changed(): void {
    this.schedule(0);
  }

  /** Someone removed the record from the store, or its lease has lapsed. */
  lost(): void {
    this.storedRevision = -1;
    this.schedule(0);
  }

  /** Ends the lease, so that the record goes at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    if (this.leaseId !== undefined) await this.store.revokeLease(this.leaseId, CALL_TIMEOUT_MS);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.step().catch((error: unknown) =>
        this.log.warn('registration failed', { error: String(error) }),
      );
    }, delayMs);
  }

  private async step(): Promise<void> {
    if (this.isRunning || this.isStopped) return;
    this.isRunning = true;
    const isKept = await this.keepUp();
    this.isRunning = false;
    this.noteReachable(isKept);
    const isCurrent = this.storedRevision === this.ownRecord().revision;
    if (!isKept) this.schedule(RETRY_MS);
    else this.schedule(isCurrent ? RENEW_MS : 0);
  }

  private async keepUp(): Promise<boolean> {
    if (this.leaseId !== undefined && this.storedRevision === this.ownRecord().revision) {
      const renewed = await this.store.renewLease(this.leaseId, CALL_TIMEOUT_MS);
      if (!renewed.ok) {
        if (renewed.kind === 'undecided') this.onSilence();
        return false;
      }
      if (renewed.value.remainingSeconds > 0) return true;
      this.leaseId = undefined;
      this.log.belief('lease has lapsed');
    }
    return (await this.ensureLease()) && this.writeRecord();
  }

  private async ensureLease(): Promise<boolean> {
    if (this.leaseId !== undefined) return true;
    const leaseMs = Math.max(LEASE_MS, this.minLeaseMs);
    const granted = await this.store.grantLease(leaseMs / MS_PER_S, CALL_TIMEOUT_MS);
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
      // The lease may be gone; a new one costs one call.
      this.leaseId = undefined;
      return false;
    }
    this.storedRevision = record.revision;
    this.log.belief('record stored', { revision: record.revision });
    return true;
  }

  private noteReachable(isReachable: boolean): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    if (isReachable) this.log.belief('store reached again');
    else this.log.warn('store lost');
  }
}
