import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { KeyQuery } from './key-query';
import type {
  Compare,
  KeyValueStore,
  RangeResult,
  StoreResult,
  TransactionResult,
  Watch,
  WatchListener,
  WriteOperation,
} from './key-value-store';
import { StoreEngine } from './store-engine';
import { refusedFailure, undecidedFailure } from './store-failure';
import {
  NO_STORE_FAULTS,
  StoreFaultMode,
  type StoreCallCounts,
  type StoreFaultModeName,
  type StoreFaults,
} from './store-faults';

type ResultCallback<Value> = (result: StoreResult<Value>) => void;

/**
 * In-memory store for tests. Faults are set until further notice or planned call by call, and all
 * delays go through the scheduler.
 */
export class MemoryStore implements KeyValueStore {
  private faults: StoreFaults = NO_STORE_FAULTS;

  private plannedModes: StoreFaultModeName[] = [];

  private callCounts = { reads: 0, writes: 0, watches: 0, leases: 0 };

  constructor(
    private readonly scheduler: Scheduler,
    /** Can be shared by several stores, so that each client has faults of its own. */
    readonly engine: StoreEngine = new StoreEngine(),
  ) {}

  get counts(): StoreCallCounts {
    return { ...this.callCounts };
  }

  setFaults(faults: StoreFaults): void {
    this.faults = faults;
    if (faults.mode === StoreFaultMode.down) this.engine.endWatches();
  }

  /** Sets the fault modes of the next calls, one per call; then `setFaults` applies again. */
  planFaults(modes: readonly StoreFaultModeName[]): void {
    this.plannedModes = [...modes];
  }

  /** Restores the state at an older store revision. */
  restore(storeRevision: number): void {
    this.engine.restore(storeRevision);
  }

  range(
    query: KeyQuery & { readonly limit?: number },
    timeoutMs: number,
  ): Promise<StoreResult<RangeResult>> {
    this.callCounts.reads += 1;
    return this.read(timeoutMs, () => this.engine.range(query));
  }

  transact(
    compares: readonly Compare[],
    writes: readonly WriteOperation[],
    timeoutMs: number,
  ): Promise<StoreResult<TransactionResult>> {
    this.callCounts.writes += 1;
    this.engine.expireLeases(this.scheduler.nowMs());
    if (this.engine.hasUnknownLease(writes)) {
      return Promise.resolve(refusedFailure('requested lease not found'));
    }
    return this.write(timeoutMs, () => this.engine.transact(compares, writes));
  }

  grantLease(
    ttlSeconds: number,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly leaseId: string }>> {
    this.callCounts.leases += 1;
    return this.write(timeoutMs, () => ({
      leaseId: this.engine.grantLease(ttlSeconds, this.scheduler.nowMs()),
    }));
  }

  renewLease(
    leaseId: string,
    timeoutMs: number,
  ): Promise<StoreResult<{ readonly remainingSeconds: number }>> {
    this.callCounts.leases += 1;
    return this.write(timeoutMs, () => ({
      remainingSeconds: this.engine.renewLease(leaseId, this.scheduler.nowMs()),
    }));
  }

  revokeLease(leaseId: string, timeoutMs: number): Promise<StoreResult<null>> {
    this.callCounts.leases += 1;
    if (!this.engine.hasLease(leaseId)) return Promise.resolve(refusedFailure('lease not found'));
    return this.write(timeoutMs, () => {
      this.engine.revokeLease(leaseId);
      return null;
    });
  }

  watch(query: KeyQuery & { readonly fromRevision: number }, listener: WatchListener): Watch {
    this.callCounts.watches += 1;
    let stopped = false;
    let watch: Watch | undefined;
    this.scheduler.after(0, () => {
      if (stopped) return;
      if (this.faults.mode === StoreFaultMode.down) listener.onEnd('lost');
      else watch = this.engine.watch(query, listener);
    });
    return {
      stop: () => {
        stopped = true;
        watch?.stop();
      },
    };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private nextMode(): StoreFaultModeName {
    return this.plannedModes.shift() ?? this.faults.mode;
  }

  private read<Value>(timeoutMs: number, action: () => Value): Promise<StoreResult<Value>> {
    return new Promise((resolve) => {
      const mode = this.nextMode();
      this.engine.expireLeases(this.scheduler.nowMs());
      if (mode === StoreFaultMode.down) resolve(refusedFailure('the store is down'));
      else if (mode === StoreFaultMode.slow)
        this.applyAfterDelay(timeoutMs, action, resolve, refusedFailure);
      else resolve({ ok: true, value: action() });
    });
  }

  private write<Value>(timeoutMs: number, action: () => Value): Promise<StoreResult<Value>> {
    return new Promise((resolve) => {
      const mode = this.nextMode();
      this.engine.expireLeases(this.scheduler.nowMs());
      if (mode === StoreFaultMode.down) resolve(refusedFailure('the store is down'));
      else if (mode === StoreFaultMode.slow)
        this.applyAfterDelay(timeoutMs, action, resolve, undecidedFailure);
      else if (mode === StoreFaultMode.loseAnswers)
        this.applyAndLoseResponse(timeoutMs, action, resolve);
      else resolve({ ok: true, value: action() });
    });
  }

  private applyAndLoseResponse<Value>(
    timeoutMs: number,
    action: () => Value,
    resolve: ResultCallback<Value>,
  ): void {
    action();
    this.scheduler.after(timeoutMs, () => resolve(undecidedFailure('the answer was lost')));
  }

  /** Applies the action after the delay, even if the caller has timed out by then. */
  private applyAfterDelay<Value>(
    timeoutMs: number,
    action: () => Value,
    resolve: ResultCallback<Value>,
    createFailure: typeof undecidedFailure,
  ): void {
    const timeout: Timer = this.scheduler.after(timeoutMs, () => resolve(createFailure('timeout')));
    this.scheduler.after(this.faults.delayMs, () => {
      timeout.cancel();
      resolve({ ok: true, value: action() });
    });
  }
}
