import { describe, expect, it } from 'vitest';
import type { CallKind, Told } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { RETRY_BOUND, TICKET_LIFETIME_MS } from './support/fake-policies';
import { FAULTS } from './support/faults';
import { STEPS } from './support/steps';
import { World } from './support/world';

const KINDS: readonly CallKind[] = ['money', 'idempotent'];
const SETTLED_MS = 3 * TICKET_LIFETIME_MS;

/** Compares everything that the caller was told with what the targets know. */
function checkTruth(world: World, kind: CallKind, told: readonly Told[]): void {
  for (const { outcome, rootId, body } of told) {
    const executions = world.executionsOf(rootId).length;
    if (outcome === 'not-run') expect(executions, 'told not-run').toBe(0);
    if (outcome === 'completed') {
      expect(executions, 'told completed').toBeGreaterThanOrEqual(1);
      expect(body).toBe(`answer to ${rootId}`);
      if (kind === 'money') expect(executions).toBe(1);
    }
  }
}

/** The most attempts of one root beyond those that the caller itself asked for. */
function mostRetries(world: World, told: readonly Told[]): number {
  const retries = world.roots().map((root) => {
    const repeats = told.filter(({ sentTicket }) => sentTicket?.includes(root)).length;
    return world.attemptsOf(root) - Math.max(1, repeats);
  });
  return Math.max(0, ...retries);
}

/** Runs one cell and returns what it shows: the outcome, the executions, the retries. */
async function runCell(kind: CallKind, step: string, fault: string): Promise<string> {
  const world = new World();
  const caller = new FakeCaller(world, kind);
  let strikes = 0;
  STEPS[step]?.(world, caller, () => {
    strikes += 1;
    if (strikes === 1) FAULTS[fault]?.(world, caller);
  });
  const done = caller.run(step === 'answer delivered');
  await world.base.advanceUntilSettled(done);
  await world.base.advance(SETTLED_MS);
  expect(strikes, 'the step was reached').toBeGreaterThan(0);
  const executions = world.roots().flatMap((root) => world.executionsOf(root));
  const retries = mostRetries(world, caller.told);
  checkTruth(world, kind, caller.told);
  if (kind === 'money') expect(executions.length, 'executions').toBeLessThanOrEqual(1);
  expect(retries, 'retries').toBeLessThanOrEqual(RETRY_BOUND);
  expect(world.network.errors, 'broken invariants').toEqual([]);
  expect(world.held(), 'nothing is held').toEqual([]);
  expect(world.base.pendingTimers, 'timers').toBe(0);
  const last = caller.told.at(-1);
  return `${last?.outcome ?? ''} ${executions.length}x ${retries}r`;
}

function tableOf(cells: ReadonlyMap<string, string>): string {
  const rows = Object.keys(FAULTS).map((fault) => [
    fault,
    ...Object.keys(STEPS).map((step) => cells.get(`${step}/${fault}`) ?? ''),
  ]);
  const table = [['', ...Object.keys(STEPS)], ...rows];
  const widths = table[0]?.map((_head, column) =>
    Math.max(...table.map((row) => row[column]?.length ?? 0)),
  );
  return table
    .map((row) => row.map((cell, column) => cell.padEnd(widths?.[column] ?? 0)).join(' | '))
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}

describe.each(KINDS)('fault matrix of a %s call', (kind) => {
  const cells = new Map<string, string>();
  const names = Object.keys(STEPS).flatMap((step) =>
    Object.keys(FAULTS).map((fault) => [step, fault] as const),
  );

  it.each(names)('%s, %s', async (step, fault) => {
    cells.set(`${step}/${fault}`, await runCell(kind, step, fault));
  });

  it('has no empty cell and prints as in the golden file', async () => {
    expect(cells.size).toBe(names.length);
    const table = tableOf(cells);
    process.stdout.write(`${kind}\n${table}`);
    await expect(table).toMatchFileSnapshot(`golden/fault-matrix-${kind}.txt`);
  });
});
