import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import { ApplyResult, type PolicyReplica } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { KeyValueStore, Watch, WatchEvent } from '@daisyferry/store/key-value-store';
import type { PolicyStore } from './policy-store';
import { RepairResult, StoreRepair } from './store-repair';
import { parseStoredValue, storedRecordSchema, toPolicyRecord } from './stored-policies';

const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 30_000;
/** Mean time between two comparisons with the head while the watch delivers no event. */
const HEAD_CHECK_INTERVAL_MS = 60_000;
const REPAIR_TIMEOUT_MS = 2_000;

/** Counters of the reader, for metrics and `daisyferry status`. */
export interface PolicyReaderCounters {
  /** Deltas applied. */
  applied: number;
  /** Number of times that the store was found behind the replica. */
  regressions: number;
  /** Number of times that the reader wrote lost records back to the store. */
  repairs: number;
  /** Reads or watches that failed. */
  failures: number;
}

export interface PolicyReaderDependencies {
  readonly store: KeyValueStore;
  readonly policyStore: PolicyStore;
  readonly replica: PolicyReplica;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  /** Called after each applied delta, to propagate it to other daemons. */
  readonly onApplied?: (revision: number) => void;
  /** Called when the store is found to be behind the replica. */
  readonly onRegressed?: (storeRevision: number, appliedRevision: number) => void;
  /** Called when the store becomes available or unavailable. */
  readonly onStoreAvailabilityChange?: (available: boolean) => void;
}

/**
 * Task that keeps the replica of one daemon up to date with the store. One watch delivers each
 * changed record, so that in the steady state a change costs no read. The store is read only if
 * revisions are missing, after the watch ends, and periodically for comparison. The replica never
 * goes back to the older state of a restored store; the lost records are written back to the store.
 */
export class PolicyReader {
  readonly counters: PolicyReaderCounters = { applied: 0, regressions: 0, repairs: 0, failures: 0 };

  private running = false;

  /** Incremented by each start and stop, so that results of earlier calls are ignored. */
  private generation = 0;

  private consecutiveFailures = 0;

  private watch: Watch | undefined;

  private timer: Timer | undefined;

  private isStoreAvailable: boolean | undefined;

  private readonly storeRepair: StoreRepair;

  constructor(private readonly dependencies: PolicyReaderDependencies) {
    const { store, policyStore, replica } = dependencies;
    this.storeRepair = new StoreRepair(store, policyStore, replica, REPAIR_TIMEOUT_MS);
  }

  /** Starts reading; does nothing if it is already running. */
  start(): void {
    if (this.running) return;
    this.running = true;
    this.generation += 1;
    this.readAndWatch();
  }

  /** Stops the watch and the timer; does nothing if it is not running. */
  stop(): void {
    this.running = false;
    this.generation += 1;
    this.cancelWatchAndTimer();
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** Reads the changes that the replica lacks, then starts the watch. */
  private readAndWatch(): void {
    const { generation } = this;
    const { policyStore, replica } = this.dependencies;
    const revisionBefore = replica.revision;
    this.cancelWatchAndTimer();
    policyStore.readSince(revisionBefore).then(
      (result) => {
        if (generation !== this.generation) return;
        if (!result.ok) {
          this.scheduleRetry();
          return;
        }
        this.reportAvailability(true);
        const { delta } = result.value;
        if (delta.toRevision < revisionBefore) this.handleRegression(delta.toRevision);
        else this.apply(delta);
        this.startWatch(result.value.storeRevision + 1);
      },
      () => {
        if (generation === this.generation) this.scheduleRetry();
      },
    );
  }

  private apply(delta: PolicyDelta): void {
    const { replica, onApplied } = this.dependencies;
    if (replica.apply(delta) !== ApplyResult.applied) return;
    this.counters.applied += 1;
    onApplied?.(replica.revision);
  }

  /** Handles a store that is behind the revision that the replica had before the read. */
  private handleRegression(storeRevision: number): void {
    const { replica, onRegressed } = this.dependencies;
    this.counters.regressions += 1;
    onRegressed?.(storeRevision, replica.revision);
    this.repairStore();
  }

  /** Writes lost records back to the store; after a failure, the next comparison tries again. */
  private repairStore(): void {
    const { generation } = this;
    this.storeRepair.writeMissingRecords().then(
      (result) => {
        if (result === RepairResult.repaired) this.counters.repairs += 1;
        if (result === RepairResult.failed && generation === this.generation) this.scheduleRetry();
      },
      () => undefined,
    );
  }

  private startWatch(fromRevision: number): void {
    const { generation } = this;
    const { store, policyStore, scheduler, random } = this.dependencies;
    const query = { key: policyStore.keys.services, prefix: true, fromRevision };
    this.watch = store.watch(query, {
      onEvents: (events) => {
        if (generation === this.generation) this.applyEvents(events);
      },
      onEnd: () => {
        if (generation === this.generation) this.scheduleRetry();
      },
    });
    const checkAfterMs = HEAD_CHECK_INTERVAL_MS * (0.5 + random());
    this.timer = scheduler.after(checkAfterMs, () => {
      this.consecutiveFailures = 0;
      this.readAndWatch();
    });
  }

  private applyEvents(events: readonly WatchEvent[]): void {
    this.consecutiveFailures = 0;
    for (const event of events) {
      const record = parseStoredValue(storedRecordSchema, event.value);
      if (record !== undefined && !this.applyWatchedRecord(toPolicyRecord(record))) {
        this.readAndWatch();
        return;
      }
    }
  }

  /** Returns false if records between the replica's revision and this one are missing. */
  private applyWatchedRecord(record: PolicyRecord): boolean {
    const { replica } = this.dependencies;
    if (record.revision <= replica.revision) return true;
    const fromRevision = record.revision - 1;
    if (fromRevision > replica.revision) return false;
    this.apply({ fromRevision, toRevision: record.revision, records: [record] });
    return true;
  }

  /** Reads again after a jittered exponential backoff, so that the readers of a fleet do not all
   * return to the store at the same time. */
  private scheduleRetry(): void {
    const { scheduler, random } = this.dependencies;
    this.cancelWatchAndTimer();
    this.reportAvailability(false);
    this.counters.failures += 1;
    const maxDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** this.consecutiveFailures,
    );
    this.consecutiveFailures += 1;
    this.timer = scheduler.after(maxDelayMs * (0.5 + 0.5 * random()), () => this.readAndWatch());
  }

  private reportAvailability(available: boolean): void {
    if (this.isStoreAvailable === available) return;
    this.isStoreAvailable = available;
    this.dependencies.onStoreAvailabilityChange?.(available);
  }

  private cancelWatchAndTimer(): void {
    this.watch?.stop();
    this.watch = undefined;
    this.timer?.cancel();
    this.timer = undefined;
  }
}
