import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import type { StoreFaults } from '@daisyferry/store/store-faults';
import { PolicyReader } from '../src/policy-reader';
import { servicePolicy, TestDaemon } from './policy-fixtures';

const READER_COUNT = 3;
/** Longer than the maximum backoff plus the interval between two comparisons. */
const CONVERGENCE_MS = 240_000;

const MAX_RETRY_DELAY_MS = 30_000;

type Step =
  | { readonly kind: 'change'; readonly service: string }
  | { readonly kind: 'faults'; readonly reader: number; readonly faults: StoreFaults }
  | { readonly kind: 'stop' | 'start'; readonly reader: number }
  | { readonly kind: 'restore'; readonly writes: number }
  | { readonly kind: 'wait'; readonly waitMs: number };

/** The first reader has no faults: changes are made through its daemon. */
const faultyReader = fc.integer({ min: 1, max: READER_COUNT - 1 });

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('change' as const),
      service: fc.constantFrom('a', 'b', 'c'),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('faults' as const),
      reader: faultyReader,
      faults: fc.record({
        mode: fc.constantFrom('ok' as const, 'down' as const, 'slow' as const),
        delayMs: fc.nat(3_000),
      }),
    }),
  },
  fc.record({ kind: fc.constantFrom('stop' as const, 'start' as const), reader: faultyReader }),
  fc.record({ kind: fc.constant('restore' as const), writes: fc.integer({ min: 1, max: 6 }) }),
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('wait' as const), waitMs: fc.nat(60_000) }),
  },
);

class TestFleet {
  readonly scheduler = new VirtualScheduler();

  private readonly engine = new StoreEngine();

  readonly daemons = Array.from(
    { length: READER_COUNT },
    () => new TestDaemon(this.scheduler, this.engine),
  );

  readonly readers: readonly PolicyReader[];

  /** Revision of the latest accepted change of each service. */
  readonly accepted = new Map<string, number>();

  private operations = 0;

  constructor(random: () => number) {
    this.readers = this.daemons.map(
      ({ store, policyStore, replica }) =>
        new PolicyReader({ store, policyStore, replica, scheduler: this.scheduler, random }),
    );
    for (const reader of this.readers) reader.start();
  }

  async applyStep(next: Step): Promise<void> {
    if (next.kind === 'change') await this.proposeChange(next.service);
    if (next.kind === 'faults') this.daemons[next.reader]?.store.setFaults(next.faults);
    if (next.kind === 'stop') this.readers[next.reader]?.stop();
    if (next.kind === 'start') this.readers[next.reader]?.start();
    if (next.kind === 'restore') await this.restore(next.writes);
    if (next.kind === 'wait') await this.scheduler.advance(next.waitMs);
  }

  async recover(): Promise<void> {
    for (const daemon of this.daemons) daemon.store.setFaults({ mode: 'ok', delayMs: 0 });
    for (const reader of this.readers) reader.start();
    await this.scheduler.advance(CONVERGENCE_MS);
  }

  private async proposeChange(service: string): Promise<void> {
    const [first] = this.daemons;
    if (first === undefined) return;
    const expected = first.replica.recordOf(service)?.revision ?? 0;
    this.operations += 1;
    const document = servicePolicy({ service });
    const outcome = await first.propose(`operation-${this.operations}`, expected, document);
    if (outcome.kind === 'accepted') this.accepted.set(service, outcome.revision);
  }

  /** Restores the store after the first daemon has applied the changes it accepted. */
  private async restore(writes: number): Promise<void> {
    await this.scheduler.advance(MAX_RETRY_DELAY_MS);
    this.engine.restore(Math.max(1, this.engine.revision - writes));
  }
}

describe('policy readers under outages, restarts and restored stores', () => {
  it('never go back, keep all accepted changes and converge', async () => {
    const totals = { accepted: 0, regressions: 0, repairs: 0, failures: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 25 }),
        fc.infiniteStream(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })),
        async (steps, randoms) => {
          const fleet = new TestFleet(() => randoms.next().value ?? 0);
          const before = fleet.daemons.map(() => 0);
          for (const next of steps) {
            await fleet.applyStep(next);
            fleet.daemons.forEach(({ replica }, index) => {
              expect(replica.revision).toBeGreaterThanOrEqual(before[index] ?? 0);
              before[index] = replica.revision;
            });
          }
          await fleet.recover();
          const [first] = fleet.daemons;
          for (const { replica } of fleet.daemons) {
            expect(replica.allRecords()).toEqual(first?.replica.allRecords());
            for (const [service, revision] of fleet.accepted) {
              expect(replica.recordOf(service)?.revision).toBe(revision);
            }
          }
          totals.accepted += fleet.accepted.size;
          for (const { counters } of fleet.readers) {
            totals.regressions += counters.regressions;
            totals.repairs += counters.repairs;
            totals.failures += counters.failures;
          }
        },
      ),
      { seed: 17, numRuns: 200 },
    );
    expect(Math.min(...Object.values(totals))).toBeGreaterThan(20);
  });
});
