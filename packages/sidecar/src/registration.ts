import type { DaemonRecord, EndedTarget } from '@daisyferry/mesh/daemon-record';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { KeyValueStore, WriteOperation } from '@daisyferry/store/key-value-store';
import type { EventLog } from './event-log';

/** Prefix of the keys of the daemons' records. */
export const DAEMON_PREFIX = 'daisyferry/daemons/';

/**
 * Prefix of the keys under which the departures of a daemon's targets are kept apart from its record,
 * which ends with its lease or with a stop of the daemon.
 */
export const DEPARTURES_PREFIX = 'daisyferry/departures/';
/** Time to live of departures: longer than a target goes on after it has left. */
const DEPARTURES_LEASE_MS = 600_000;
/** Age from which the lease of departures is not used for a further one. */
const MAX_DEPARTURES_LEASE_AGE_MS = 300_000;

/** Time to live of a record that its daemon no longer renews; longer if the store requires it. */
export const LEASE_MS = 18_000;
const MS_PER_SECOND = 1_000;
/**
 * Time between two renewals. A daemon that follows the store renews more often, to notice that the
 * store does not answer it, so that another takes its place. A renewal has a connection of its own
 * and tells nothing of those on which watches wait.
 */
const RENEW_INTERVAL_MS = 6_000;
const FREQUENT_RENEW_INTERVAL_MS = 4_000;
/**
 * Time after the start within which a target usually announces itself; a record without a target
 * is written only after it.
 */
const FIRST_WRITE_DELAY_MS = 2_500;
/** Shortest time between two writes: peers are told of a change directly, the store follows. */
const MIN_WRITE_INTERVAL_MS = 1_000;
/** Delay of a write, at random up to it, as a whole fleet may have to write at the same time. */
const WRITE_JITTER_MS = 200;
/** Delay after a failed call; it restores an expired record well within two seconds. */
const RETRY_DELAY_MS = 400;
/** Longest delay after repeated failures: a store that refuses this machine is not pressed. */
const MAX_RETRY_DELAY_MS = 1_600;
const CALL_TIMEOUT_MS = 1_200;
/**
 * Time after the start from which a store that does not tell the record of the earlier process holds
 * the target up no longer.
 */
const MAX_EARLIER_RECORD_WAIT_MS = 2_500;

/** What the store has of the earlier process. */
export interface EarlierState {
  readonly recordText: string | undefined;
  readonly departuresText: string | undefined;
}

interface DeparturesLease {
  readonly leaseId: string;
  readonly grantedAtMs: number;
}

/** The departures that a target has stated, for the store; undefined without any. */
function departuresTextOf({ endedTargets = [] }: DaemonRecord): string | undefined {
  const stated = endedTargets.filter(({ isPresumed }: EndedTarget) => isPresumed !== true);
  return stated.length === 0 ? undefined : JSON.stringify(stated);
}

export interface RegistrationParts {
  readonly store: KeyValueStore;
  /** Shortest lease that the store grants. */
  readonly minLeaseMs: number;
  readonly ownRecord: () => DaemonRecord;
  /** Called with what the store has of the earlier process. */
  readonly onEarlier: (earlier: EarlierState) => void;
  /** Called if the store has not told that for some seconds; it may tell later. */
  readonly onEarlierOverdue: () => void;
  /** Called when a call had no response, as connections to the store may be unresponsive. */
  readonly onUnresponsiveStore: () => void;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly clock: () => number;
}

/** Keeps this daemon's record in the store under a lease. */
export class Registration {
  private leaseId: string | undefined;

  private storedRevision = -1;

  private departuresLease: DeparturesLease | undefined;

  private storedDeparturesText: string | undefined;

  /** True from `writeNow` until the present record is stored. */
  private isUrgent = false;

  /** True once the record of the earlier process was read, which the first write replaces. */
  private hasReadEarlier = false;

  private timer: NodeJS.Timeout | undefined;

  private isRunning = false;

  private isStopped = false;

  private isReachable = true;

  private isFrequent = false;

  private failures = 0;

  private readonly startedAtMs: number;

  private lastWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: RegistrationParts) {
    this.startedAtMs = parts.clock();
  }

  /** Reads the record of the earlier process; this daemon's own is written after that. */
  start(): void {
    this.schedule(0);
  }

  /** Schedules a write of the record, as it has changed. */
  scheduleWrite(): void {
    if (!this.hasReadEarlier) return;
    this.schedule(this.writeDelayMs());
  }

  /** True while the store has the present record, as far as is known. */
  get isStored(): boolean {
    return this.storedRevision === this.parts.ownRecord().revision;
  }

  /** Writes the record without further delay. */
  writeNow(): void {
    this.isUrgent = true;
    if (this.hasReadEarlier) this.schedule(0);
  }

  /** Schedules a new write of the record, as it was removed from the store or its lease expired. */
  scheduleRewrite(): void {
    if (!this.hasReadEarlier) return;
    if (this.parts.clock() - this.lastWriteAtMs < MIN_WRITE_INTERVAL_MS) return;
    this.storedRevision = -1;
    this.leaseId = undefined;
    this.schedule(this.writeDelayMs());
  }

  /**
   * Writes the record again under a new lease, as the store came back from an older copy: it may
   * hold an older record, and a lease that it grants again to another daemon.
   */
  renewAfterRestore(): void {
    if (!this.hasReadEarlier) return;
    this.storedRevision = -1;
    this.leaseId = undefined;
    this.forgetStoredDepartures();
    this.lastWriteAtMs = Number.NEGATIVE_INFINITY;
    this.schedule(this.parts.random() * WRITE_JITTER_MS);
  }

  /** Sets how often the lease is renewed. */
  setFrequentRenewal(isFrequent: boolean): void {
    this.isFrequent = isFrequent;
    if (isFrequent && this.storedRevision >= 0) this.schedule(FREQUENT_RENEW_INTERVAL_MS);
  }

  /** Revokes the lease, so that the store removes the record at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    if (this.leaseId !== undefined) {
      await this.parts.store.revokeLease(this.leaseId, CALL_TIMEOUT_MS);
    }
  }

  /** Has the departures written again, under a new lease. */
  private forgetStoredDepartures(): void {
    this.storedDeparturesText = undefined;
    this.departuresLease = undefined;
  }

  private writeDelayMs(): number {
    if (this.isUrgent) return 0;
    const { ownRecord, clock, random } = this.parts;
    const nowMs = clock();
    const isFirst = this.lastWriteAtMs === Number.NEGATIVE_INFINITY;
    const earliestMs =
      isFirst && ownRecord().target === undefined
        ? this.startedAtMs + FIRST_WRITE_DELAY_MS
        : this.lastWriteAtMs + MIN_WRITE_INTERVAL_MS;
    return Math.max(0, earliestMs - nowMs) + random() * WRITE_JITTER_MS;
  }

  private renewalDelayMs(): number {
    return this.isFrequent ? FREQUENT_RENEW_INTERVAL_MS : RENEW_INTERVAL_MS;
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.renewAndReschedule().catch((error: unknown) =>
        this.parts.log.warn('registration failed', { error: String(error) }),
      );
    }, delayMs);
  }

  private async renewAndReschedule(): Promise<void> {
    if (this.isRunning || this.isStopped) return;
    this.isRunning = true;
    let isRegistered = false;
    try {
      isRegistered = await this.renewOrWrite();
    } finally {
      this.isRunning = false;
      this.updateReachability(isRegistered);
      if (this.isStored) this.isUrgent = false;
      if (!isRegistered) this.schedule(this.retryDelayMs());
      else this.schedule(this.isStored ? this.renewalDelayMs() : this.writeDelayMs());
    }
  }

  private retryDelayMs(): number {
    const delayMs = RETRY_DELAY_MS * 2 ** Math.min(8, this.failures - 1);
    return Math.min(MAX_RETRY_DELAY_MS, delayMs) * (0.75 + this.parts.random() / 2);
  }

  private async renewOrWrite(): Promise<boolean> {
    if (!this.hasReadEarlier) return this.readEarlier();
    const { store, ownRecord, onUnresponsiveStore, log } = this.parts;
    if (this.leaseId !== undefined && this.storedRevision === ownRecord().revision) {
      const renewed = await store.renewLease(this.leaseId, CALL_TIMEOUT_MS);
      if (!renewed.ok) {
        if (renewed.kind === 'undecided') onUnresponsiveStore();
        return false;
      }
      if (renewed.value.remainingSeconds > 0) return true;
      this.leaseId = undefined;
      // The lease of the departures may have expired with it, as after a time without the store.
      this.forgetStoredDepartures();
      log.stateChange('lease expired');
    }
    return (await this.ensureLease()) && this.writeRecord();
  }

  private async readEarlier(): Promise<boolean> {
    const { store, ownRecord, onEarlier, onEarlierOverdue, clock, log } = this.parts;
    const { daemonId } = ownRecord();
    const [record, departures] = await Promise.all(
      [DAEMON_PREFIX, DEPARTURES_PREFIX].map((prefix) =>
        store.range({ key: `${prefix}${daemonId}` }, CALL_TIMEOUT_MS),
      ),
    );
    if (record?.ok !== true || departures?.ok !== true) {
      const isOverdue = clock() - this.startedAtMs >= MAX_EARLIER_RECORD_WAIT_MS;
      if (isOverdue) onEarlierOverdue();
      return false;
    }
    this.hasReadEarlier = true;
    const recordText = record.value.values[0]?.value;
    const departuresText = departures.value.values[0]?.value;
    log.stateChange('record of the earlier process read', {
      isPresent: recordText !== undefined,
      hasDepartures: departuresText !== undefined,
    });
    onEarlier({ recordText, departuresText });
    return true;
  }

  private async ensureLease(): Promise<boolean> {
    if (this.leaseId !== undefined) return true;
    const leaseMs = Math.max(LEASE_MS, this.parts.minLeaseMs);
    const granted = await this.parts.store.grantLease(leaseMs / MS_PER_SECOND, CALL_TIMEOUT_MS);
    if (!granted.ok) return false;
    this.leaseId = granted.value.leaseId;
    return true;
  }

  private async ensureDeparturesLease(): Promise<string | undefined> {
    const { store, minLeaseMs, clock } = this.parts;
    const nowMs = clock();
    const present = this.departuresLease;
    if (present !== undefined && nowMs - present.grantedAtMs < MAX_DEPARTURES_LEASE_AGE_MS)
      return present.leaseId;
    const leaseMs = Math.max(DEPARTURES_LEASE_MS, minLeaseMs);
    const granted = await store.grantLease(leaseMs / MS_PER_SECOND, CALL_TIMEOUT_MS);
    if (!granted.ok) return undefined;
    const { leaseId } = granted.value;
    this.departuresLease = { leaseId, grantedAtMs: nowMs };
    return leaseId;
  }

  private async writeRecord(): Promise<boolean> {
    const { leaseId } = this;
    if (leaseId === undefined) return false;
    const record = this.parts.ownRecord();
    const key = `${DAEMON_PREFIX}${record.daemonId}`;
    const writes: WriteOperation[] = [{ kind: 'put', key, value: JSON.stringify(record), leaseId }];
    const departuresText = departuresTextOf(record);
    if (departuresText !== undefined && departuresText !== this.storedDeparturesText) {
      const departuresLeaseId = await this.ensureDeparturesLease();
      if (departuresLeaseId === undefined) return false;
      writes.push({
        kind: 'put',
        key: `${DEPARTURES_PREFIX}${record.daemonId}`,
        value: departuresText,
        leaseId: departuresLeaseId,
      });
    }
    const written = await this.parts.store.transact([], writes, CALL_TIMEOUT_MS);
    if (!written.ok || !written.value.succeeded) {
      // A lease may have expired; granting new ones costs only a call each.
      this.leaseId = undefined;
      this.forgetStoredDepartures();
      return false;
    }
    this.storedRevision = record.revision;
    this.storedDeparturesText = departuresText;
    this.lastWriteAtMs = this.parts.clock();
    this.parts.log.stateChange('record stored', { revision: record.revision });
    return true;
  }

  private updateReachability(isReachable: boolean): void {
    this.failures = isReachable ? 0 : this.failures + 1;
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    if (isReachable) this.parts.log.stateChange('store reachable again');
    else this.parts.log.warn('store unreachable');
  }
}
