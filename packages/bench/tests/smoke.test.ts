import { execFile } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { afterAll, describe, expect, it } from 'vitest';
import type { LoadReport } from '../src/report';

const RUN_TIMEOUT_MS = 60_000;

const bench = path.resolve(import.meta.dirname, '../../../dist/daisyferry-bench.mjs');
const folder = mkdtempSync(path.join(tmpdir(), 'daisyferry-smoke-'));

afterAll(() => rmSync(folder, { recursive: true }));

async function runBench(args: readonly string[]): Promise<string> {
  const run = promisify(execFile);
  const { stdout } = await run(process.execPath, [bench, ...args], { timeout: RUN_TIMEOUT_MS });
  return stdout;
}

describe('daisyferry-bench', () => {
  it('has been built', () => {
    expect(existsSync(bench), `${bench} is missing; run 'npm run build' first`).toBe(true);
  });

  it('lists the scenarios', async () => {
    const list = await runBench(['--list']);
    for (const name of ['steady', 'surge-slow-faults', 'latency', 'fleet', 'members-18000']) {
      expect(list).toContain(`${name} `);
    }
  });

  it(
    'completes requests on real processes without a guarantee violation',
    async () => {
      await runBench(['--scenario', 'smoke', '--seed', '1', '--no-baseline', '--out', folder]);
      const text = readFileSync(path.join(folder, 'report.json'), 'utf8');
      const { system } = JSON.parse(text) as LoadReport;
      expect(system.offeredRequests).toBeGreaterThan(0);
      expect(system.completedRequests).toBeGreaterThan(0);
      expect(system.moneyOffered).toBeGreaterThan(0);
      expect(system).toMatchObject({
        duplicateExecutions: 0,
        falseNotRun: 0,
        crossedAnswers: 0,
        cutAnswers: 0,
        workAfterDrain: 0,
        cutByDrain: 0,
        problems: [],
      });
      expect(system.maxRetriesPerRequest).toBeLessThanOrEqual(system.retryBound);
      expect(existsSync(path.join(folder, 'report.html'))).toBe(true);
    },
    RUN_TIMEOUT_MS,
  );
});
