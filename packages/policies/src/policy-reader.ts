import type { PolicyDelta, PolicyRecord } from '@daisyferry/model/policy';
import { ApplyResult, type PolicyReplica } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { KeyValueStore, Watch, WatchEvent } from '@daisyferry/store/key-value-store';
import type { PolicyStore } from './policy-store';
import { RepairResult, StoreRepair } from './store-repair';
import { parseStored, storedRecordSchema, toPolicyRecord } from './stored-policies';

const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 30_000;
/** Mean time between two comparisons with the head while the watch is quiet. */
const CHECK_INTERVAL_MS = 60_000;
const REPAIR_TIMEOUT_MS = 2_000;

/** What the reader has seen, for metrics and `daisyferry status`. */
export interface PolicyReaderCounters {
  /** Deltas that brought something new. */
  applied: number;
  /** Times that the store was behind the replica. */
  regressions: number;
  /** Times that the reader wrote lost records back to the store. */
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
  /** Called after each delta that was applied, to spread it among the daemons. */
  readonly onApplied?: (revision: number) => void;
  /** Called when the store turns out to be behind the replica. */
  readonly onRegressed?: (storeRevision: number, appliedRevision: number) => void;
  /** Called when the store begins or ceases to answer. */
  readonly onStoreState?: (available: boolean) => void;
}

/**
 * Task that keeps the replica of one daemon up to date with the store. One watch delivers each
 * changed record, so that in the steady state a change costs no read; a read follows only where
 * the order of revisions has a gap, after a lost watch, and once in a while for comparison. A store
 * that was restored to an older state is never followed back; what it lost is written again.
 */
export class PolicyReader {
  readonly counters: PolicyReaderCounters = { applied: 0, regressions: 0, repairs: 0, failures: 0 };

  private running = false;

  /** Raised by each start and stop, so that answers to an earlier run are dropped. */
  private run = 0;

  private failuresInRow = 0;

  private watch: Watch | undefined;

  private timer: Timer | undefined;

  private available: boolean | undefined;

  private readonly storeRepair: StoreRepair;

  constructor(private readonly dependencies: PolicyReaderDependencies) {
    const { store, policyStore, replica } = dependencies;
    this.storeRepair = new StoreRepair(store, policyStore, replica, REPAIR_TIMEOUT_MS);
  }

  /** Begins to read; does nothing if it reads already. */
  start(): void {
    if (this.running) return;
    this.running = true;
    this.run += 1;
    this.read();
  }

  /** Ends the watch and all waiting; does nothing if it does not read. */
  stop(): void {
    this.running = false;
    this.run += 1;
    this.endWaiting();
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** Reads what the replica lacks and then starts the watch. */
  private read(): void {
    const { run } = this;
    const { policyStore, replica } = this.dependencies;
    const revisionBefore = replica.revision;
    this.endWaiting();
    policyStore.readSince(revisionBefore).then(
      (result) => {
        if (run !== this.run) return;
        if (!result.ok) {
          this.retry();
          return;
        }
        this.report(true);
        const { delta } = result.value;
        if (delta.toRevision < revisionBefore) this.regressed(delta.toRevision);
        else this.apply(delta);
        this.startWatch(result.value.storeRevision + 1);
      },
      () => {
        if (run === this.run) this.retry();
      },
    );
  }

  private apply(delta: PolicyDelta): void {
    const { replica, onApplied } = this.dependencies;
    if (replica.apply(delta) !== ApplyResult.applied) return;
    this.counters.applied += 1;
    onApplied?.(replica.revision);
  }

  /** The store held less than the replica did before the read. */
  private regressed(storeRevision: number): void {
    const { replica, onRegressed } = this.dependencies;
    this.counters.regressions += 1;
    onRegressed?.(storeRevision, replica.revision);
    this.repair();
  }

  /** Writes back what the store lost; the next comparison tries again after a failure. */
  private repair(): void {
    const { run } = this;
    this.storeRepair.run().then(
      (result) => {
        if (result === RepairResult.repaired) this.counters.repairs += 1;
        if (result === RepairResult.failed && run === this.run) this.retry();
      },
      () => undefined,
    );
  }

  private startWatch(fromRevision: number): void {
    const { run } = this;
    const { store, policyStore, scheduler, random } = this.dependencies;
    const query = { key: policyStore.keys.services, prefix: true, fromRevision };
    this.watch = store.watch(query, {
      onEvents: (events) => {
        if (run === this.run) this.receiveEvents(events);
      },
      onEnd: () => {
        if (run === this.run) this.retry();
      },
    });
    const checkAfterMs = CHECK_INTERVAL_MS * (0.5 + random());
    this.timer = scheduler.after(checkAfterMs, () => {
      this.failuresInRow = 0;
      this.read();
    });
  }

  private receiveEvents(events: readonly WatchEvent[]): void {
    this.failuresInRow = 0;
    for (const event of events) {
      const record = parseStored(storedRecordSchema, event.value);
      if (record !== undefined && !this.receiveRecord(toPolicyRecord(record))) {
        this.read();
        return;
      }
    }
  }

  /** False if records between the replica's revision and this one are missing. */
  private receiveRecord(record: PolicyRecord): boolean {
    const { replica } = this.dependencies;
    if (record.revision <= replica.revision) return true;
    const fromRevision = record.revision - 1;
    if (fromRevision > replica.revision) return false;
    this.apply({ fromRevision, toRevision: record.revision, records: [record] });
    return true;
  }

  /** Reads again after a random time that grows with each failure in a row, so that the readers
   * of a fleet do not return to the store at one moment. */
  private retry(): void {
    const { scheduler, random } = this.dependencies;
    this.endWaiting();
    this.report(false);
    this.counters.failures += 1;
    const limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** this.failuresInRow);
    this.failuresInRow += 1;
    this.timer = scheduler.after(limitMs * (0.5 + 0.5 * random()), () => this.read());
  }

  private report(available: boolean): void {
    if (this.available === available) return;
    this.available = available;
    this.dependencies.onStoreState?.(available);
  }

  private endWaiting(): void {
    this.watch?.stop();
    this.watch = undefined;
    this.timer?.cancel();
    this.timer = undefined;
  }
}
