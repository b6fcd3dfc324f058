import { describe, expect, it } from 'vitest';
import type { CallKind, TryResult } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { RETRY_BOUND, TICKET_LIFETIME_MS } from './support/fake-policies';
import { FAULTS } from './support/faults';
import { SimulatedCluster } from './support/simulated-cluster';
import { STEPS } from './support/steps';

const KINDS: readonly CallKind[] = ['money', 'idempotent'];
/** Time after the last try in which the records of all tickets expire. */
const SETTLED_MS = 3 * TICKET_LIFETIME_MS;

/** Checks every result of the caller against the executions recorded by the targets. */
function checkResults(
  cluster: SimulatedCluster,
  kind: CallKind,
  results: readonly TryResult[],
): void {
  for (const { outcome, rootId, body } of results) {
    const executions = cluster.executionsOf(rootId).length;
    if (outcome === 'not-run') expect(executions, 'reported not-run').toBe(0);
    if (outcome === 'completed') {
      expect(executions, 'reported completed').toBeGreaterThanOrEqual(1);
      expect(body).toBe(`response to ${rootId}`);
      if (kind === 'money') expect(executions).toBe(1);
    }
  }
}

/** Maximum number of attempts of a root request beyond the tries of the caller itself. */
function maxRetries(cluster: SimulatedCluster, results: readonly TryResult[]): number {
  const retries = cluster.roots().map((root) => {
    const repeats = results.filter(({ sentTicket }) => sentTicket?.includes(root)).length;
    return cluster.attemptsOf(root) - Math.max(1, repeats);
  });
  return Math.max(0, ...retries);
}

/** Runs one cell of the matrix and returns its outcome, executions and retries. */
async function runCell(kind: CallKind, step: string, fault: string): Promise<string> {
  const cluster = new SimulatedCluster();
  const caller = new FakeCaller(cluster, kind);
  let injections = 0;
  STEPS[step]?.(cluster, caller, () => {
    injections += 1;
    if (injections === 1) FAULTS[fault]?.(cluster, caller);
  });
  const done = caller.run(step === 'response delivered');
  await cluster.scheduler.advanceUntilSettled(done);
  await cluster.scheduler.advance(SETTLED_MS);
  expect(injections, 'the step was reached').toBeGreaterThan(0);
  const executions = cluster.roots().flatMap((root) => cluster.executionsOf(root));
  const retries = maxRetries(cluster, caller.results);
  checkResults(cluster, kind, caller.results);
  if (kind === 'money') expect(executions.length, 'executions').toBeLessThanOrEqual(1);
  expect(retries, 'retries').toBeLessThanOrEqual(RETRY_BOUND);
  expect(cluster.network.errors, 'violated invariants').toEqual([]);
  expect(cluster.leakedResources(), 'leaked resources').toEqual([]);
  expect(cluster.scheduler.pendingTimers, 'pending timers').toBe(0);
  const last = caller.results.at(-1);
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

  it('has no empty cell and matches the golden file', async () => {
    expect(cells.size).toBe(names.length);
    const table = tableOf(cells);
    process.stdout.write(`${kind}\n${table}`);
    await expect(table).toMatchFileSnapshot(`golden/fault-matrix-${kind}.txt`);
  });
});
