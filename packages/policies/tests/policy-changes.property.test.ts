import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import type { StoreFaultModeName } from '@daisyferry/store/store-faults';
import type { ChangeOutcome } from '../src/change-outcome';
import type { StoredRecord } from '../src/stored-policies';
import { servicePolicy, TestDaemon } from './policy-fixtures';

const SERVICES = ['teller', 'vault'] as const;
/** Longer than any store delay in the runs, so that all late writes have arrived. */
const LATE_WRITE_MS = 20_000;

interface PlannedChange {
  /** Delay of slow store responses at the daemon that makes the change. */
  readonly delayMs: number;
  readonly service: (typeof SERVICES)[number];
  /** Number of revisions by which the operator's view is behind the current record. */
  readonly staleness: number;
  readonly withdraws: boolean;
  readonly startAfterMs: number;
  /** The daemon is lost after this time, and its operator receives no outcome. */
  readonly killAfterMs: number | undefined;
  readonly faults: readonly StoreFaultModeName[];
}

/** Longer than a change keeps retrying. */
const OUTAGE: readonly StoreFaultModeName[] = Array<StoreFaultModeName>(80).fill('down');

const plannedChange: fc.Arbitrary<PlannedChange> = fc.record({
  delayMs: fc.nat(4_000),
  service: fc.constantFrom(...SERVICES),
  staleness: fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, fc.constant(1)),
  withdraws: fc.boolean(),
  startAfterMs: fc.nat(3_000),
  killAfterMs: fc.option(fc.nat(3_000), { nil: undefined }),
  faults: fc.oneof(
    fc.array(fc.constantFrom<StoreFaultModeName>('ok', 'ok', 'ok', 'slow', 'loseAnswers', 'down'), {
      maxLength: 12,
    }),
    // The three reads of a change succeed, its write is lost or late, and the store goes down.
    fc
      .constantFrom<StoreFaultModeName>('loseAnswers', 'slow')
      .map((fault): readonly StoreFaultModeName[] => ['ok', 'ok', 'ok', fault, ...OUTAGE]),
  ),
});

/** Concurrent changes through several daemons that share a store; records reported outcomes. */
class ConcurrentChanges {
  readonly scheduler = new VirtualScheduler();

  private readonly engine = new StoreEngine();

  private readonly observer = new TestDaemon(this.scheduler, this.engine);

  private readonly daemons: TestDaemon[] = [];

  readonly outcomes = new Map<string, ChangeOutcome | undefined>();

  readonly expected = new Map<string, number>();

  constructor(private readonly random: () => number) {}

  /** Starts all changes at their times and waits until each has an outcome or lost its daemon. */
  async run(changes: readonly PlannedChange[]): Promise<void> {
    changes.forEach((change, index) => {
      this.outcomes.set(`operation-${index}`, undefined);
      this.scheduler.after(change.startAfterMs, () => {
        this.startChange(change, `operation-${index}`);
      });
    });
    await this.scheduler.advance(60_000);
  }

  /** Settles, through another daemon, every change without a reported final outcome. */
  async settleAll(): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.store.planFaults([]);
      daemon.store.setFaults({ mode: 'ok', delayMs: 0 });
    }
    for (const [operationId, outcome] of this.outcomes) {
      if (outcome !== undefined && outcome.kind !== 'undecided') continue;
      this.outcomes.set(operationId, await this.settle(operationId));
    }
  }

  settle(operationId: string): Promise<ChangeOutcome> {
    return this.scheduler.advanceUntilSettled(this.observer.changes.settle(operationId));
  }

  async history(): Promise<readonly StoredRecord[]> {
    const head = await this.observer.policyStore.readHead();
    if (!head.ok) throw new Error(head.detail);
    const records: StoredRecord[] = [];
    for (let revision = 1; revision <= head.value.revision; revision += 1) {
      const record = await this.observer.policyStore.readRevision(revision);
      if (!record.ok || record.value === undefined) throw new Error(`no revision ${revision}`);
      records.push(record.value.value);
    }
    return records;
  }

  private addDaemon({ delayMs, faults }: PlannedChange): TestDaemon {
    const daemon = new TestDaemon(this.scheduler, this.engine, this.random);
    daemon.store.setFaults({ mode: 'ok', delayMs });
    daemon.store.planFaults(faults);
    this.daemons.push(daemon);
    return daemon;
  }

  private startChange(change: PlannedChange, operationId: string): void {
    const { service, withdraws, staleness, killAfterMs } = change;
    const daemon = this.addDaemon(change);
    const [currentEntry] = this.engine.range({
      key: daemon.policyStore.keys.service(service),
    }).values;
    const revision =
      currentEntry === undefined ? 0 : (JSON.parse(currentEntry.value) as StoredRecord).revision;
    const expectedRevision = Math.max(0, revision - staleness);
    this.expected.set(operationId, expectedRevision);
    const request = { operationId, expectedRevision, author: operationId, dryRun: false };
    const outcome = withdraws
      ? daemon.changes.withdraw({ ...request, service })
      : daemon.changes.propose({ ...request, document: servicePolicy({ service }) });
    let isDaemonLost = false;
    if (killAfterMs !== undefined) {
      this.scheduler.after(killAfterMs, () => {
        isDaemonLost = true;
      });
    }
    outcome.then(
      (result) => {
        if (!isDaemonLost) this.outcomes.set(operationId, result);
      },
      () => undefined,
    );
  }
}

describe('policy changes of several operators under store faults', () => {
  it('are each finally accepted or refused, in one order', async () => {
    const outcomeCounts = { accepted: 0, refused: 0, undecided: 0, settled: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.array(plannedChange, { minLength: 1, maxLength: 8 }),
        fc.infiniteStream(fc.float({ min: 0, max: 1, maxExcluded: true, noNaN: true })),
        async (changes, randoms) => {
          const concurrentChanges = new ConcurrentChanges(() => randoms.next().value ?? 0);
          await concurrentChanges.run(changes);
          const reportedOutcomes = new Map(concurrentChanges.outcomes);
          await concurrentChanges.settleAll();
          await concurrentChanges.scheduler.advance(LATE_WRITE_MS);
          const history = await concurrentChanges.history();

          expect(history.map(({ revision }) => revision)).toEqual(history.map((_, at) => at + 1));
          const written = new Map(history.map((entry) => [entry.operationId, entry]));
          expect(written.size).toBe(history.length);
          for (const [operationId, outcome] of concurrentChanges.outcomes) {
            const first = reportedOutcomes.get(operationId);
            if (first?.kind === 'accepted') outcomeCounts.accepted += 1;
            if (first?.kind === 'refused') outcomeCounts.refused += 1;
            if (first?.kind === 'undecided') outcomeCounts.undecided += 1;
            expect(['accepted', 'refused']).toContain(outcome?.kind);
            const entry = written.get(operationId);
            if (outcome?.kind === 'accepted') {
              expect(entry?.revision).toBe(outcome.revision);
            } else {
              expect(entry).toBeUndefined();
            }
            const again = await concurrentChanges.settle(operationId);
            expect(again.kind).toBe(outcome?.kind);
            outcomeCounts.settled += 1;
          }
          for (const entry of history) {
            const earlier = history.filter(
              ({ service, revision }) => service === entry.service && revision < entry.revision,
            );
            const before = earlier.at(-1);
            expect(entry.previousRevision).toBe(before?.revision ?? 0);
            const expected = concurrentChanges.expected.get(entry.operationId);
            const allowed =
              before?.policy === null ? [0, before.revision] : [before?.revision ?? 0];
            expect(allowed).toContain(expected);
          }
        },
      ),
      { seed: 20_260_101, numRuns: 300 },
    );
    // Ensures that the generated runs cover each kind of outcome.
    expect(Math.min(...Object.values(outcomeCounts))).toBeGreaterThan(10);
  });
});
