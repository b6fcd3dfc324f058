import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { StoreEngine } from '@daisyferry/store/store-engine';
import type { StoreFaultModeName } from '@daisyferry/store/store-faults';
import type { ChangeOutcome } from '../src/change-outcome';
import type { StoredRecord } from '../src/stored-policies';
import { policy, Site } from './policy-fixtures';

const SERVICES = ['teller', 'vault'] as const;
/** Longer than any store delay of the runs, so that all late writes have come in. */
const QUIET_MS = 20_000;

interface PlannedChange {
  /** Delay of slow answers of the store at the daemon that makes the change. */
  readonly delayMs: number;
  readonly service: (typeof SERVICES)[number];
  /** How far behind the present record the operator's view is. */
  readonly staleness: number;
  readonly withdraws: boolean;
  readonly startAfterMs: number;
  /** The daemon is lost after this time; its operator hears no outcome. */
  readonly killAfterMs: number | undefined;
  readonly faults: readonly StoreFaultModeName[];
}

/** Longer than a change goes on asking. */
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
    // The three reads of a change pass, its write is lost or late, and the store goes away.
    fc
      .constantFrom<StoreFaultModeName>('loseAnswers', 'slow')
      .map((fault): readonly StoreFaultModeName[] => ['ok', 'ok', 'ok', fault, ...OUTAGE]),
  ),
});

/** Several daemons over one store; records what each operator was told. */
class Race {
  readonly scheduler = new VirtualScheduler();

  private readonly engine = new StoreEngine();

  private readonly observer = new Site(this.scheduler, this.engine);

  private readonly sites: Site[] = [];

  readonly outcomes = new Map<string, ChangeOutcome | undefined>();

  readonly expected = new Map<string, number>();

  constructor(private readonly random: () => number) {}

  /** Starts all changes at their times and waits until each has an outcome or lost its daemon. */
  async run(changes: readonly PlannedChange[]): Promise<void> {
    changes.forEach((change, index) => {
      this.outcomes.set(`operation-${index}`, undefined);
      this.scheduler.after(change.startAfterMs, () => {
        this.start(change, `operation-${index}`);
      });
    });
    await this.scheduler.advance(60_000);
  }

  /** Asks another daemon for the outcome of every change that nobody was told of. */
  async settleAll(): Promise<void> {
    for (const site of this.sites) {
      site.store.planFaults([]);
      site.store.setFaults({ mode: 'ok', delayMs: 0 });
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

  private openSite({ delayMs, faults }: PlannedChange): Site {
    const site = new Site(this.scheduler, this.engine, this.random);
    site.store.setFaults({ mode: 'ok', delayMs });
    site.store.planFaults(faults);
    this.sites.push(site);
    return site;
  }

  private start(change: PlannedChange, operationId: string): void {
    const { service, withdraws, staleness, killAfterMs } = change;
    const site = this.openSite(change);
    const [present] = this.engine.range({ key: site.policyStore.keys.service(service) }).values;
    const revision =
      present === undefined ? 0 : (JSON.parse(present.value) as StoredRecord).revision;
    const expectedRevision = Math.max(0, revision - staleness);
    this.expected.set(operationId, expectedRevision);
    const request = { operationId, expectedRevision, author: operationId, dryRun: false };
    const outcome = withdraws
      ? site.changes.withdraw({ ...request, service })
      : site.changes.propose({ ...request, document: policy({ service }) });
    let lost = false;
    if (killAfterMs !== undefined) {
      this.scheduler.after(killAfterMs, () => {
        lost = true;
      });
    }
    outcome.then(
      (told) => {
        if (!lost) this.outcomes.set(operationId, told);
      },
      () => undefined,
    );
  }
}

describe('policy changes of several operators under store faults', () => {
  it('are each accepted or refused for good, in one order', async () => {
    const seen = { accepted: 0, refused: 0, undecided: 0, settled: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.array(plannedChange, { minLength: 1, maxLength: 8 }),
        fc.infiniteStream(fc.float({ min: 0, max: 1, maxExcluded: true, noNaN: true })),
        async (changes, randoms) => {
          const race = new Race(() => randoms.next().value ?? 0);
          await race.run(changes);
          const told = new Map(race.outcomes);
          await race.settleAll();
          await race.scheduler.advance(QUIET_MS);
          const history = await race.history();

          expect(history.map(({ revision }) => revision)).toEqual(history.map((_, at) => at + 1));
          const written = new Map(history.map((entry) => [entry.operationId, entry]));
          expect(written.size).toBe(history.length);
          for (const [operationId, outcome] of race.outcomes) {
            const first = told.get(operationId);
            if (first?.kind === 'accepted') seen.accepted += 1;
            if (first?.kind === 'refused') seen.refused += 1;
            if (first?.kind === 'undecided') seen.undecided += 1;
            expect(['accepted', 'refused']).toContain(outcome?.kind);
            const entry = written.get(operationId);
            if (outcome?.kind === 'accepted') {
              expect(entry?.revision).toBe(outcome.revision);
            } else {
              expect(entry).toBeUndefined();
            }
            const again = await race.settle(operationId);
            expect(again.kind).toBe(outcome?.kind);
            seen.settled += 1;
          }
          for (const entry of history) {
            const earlier = history.filter(
              ({ service, revision }) => service === entry.service && revision < entry.revision,
            );
            const before = earlier.at(-1);
            expect(entry.previousRevision).toBe(before?.revision ?? 0);
            const expected = race.expected.get(entry.operationId);
            const allowed =
              before?.policy === null ? [0, before.revision] : [before?.revision ?? 0];
            expect(allowed).toContain(expected);
          }
        },
      ),
      { seed: 20_260_101, numRuns: 300 },
    );
    // Each kind of outcome has come up, or the property says nothing about it.
    expect(Math.min(...Object.values(seen))).toBeGreaterThan(10);
  });
});
