import { FailureReport } from '@daisyferry/sidecar/failure-report';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { afterEach, describe, expect, it } from 'vitest';

const PROGRAM = fileURLToPath(new URL('./support/faulty-process.ts', import.meta.url));
const REQUESTS = 20;

describe('a process in which an error has no owner', () => {
  let child: ChildProcess;

  afterEach(() => child.kill('SIGKILL'));

  it.each(['timer', 'rejection', 'event', 'nested'])(
    'answers all requests in progress and names the error, by %s',
    async (fault) => {
      child = spawn(process.execPath, ['--import', 'tsx', PROGRAM, fault], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      const { stdout } = child;
      if (stdout === null) throw new Error('no output');
      const lines: string[] = [];
      const output = createInterface(stdout).on('line', (line) => lines.push(line));
      await once(output, 'line');
      const url = `http://127.0.0.1:${lines[0]}`;
      const texts = await Promise.all(
        Array.from({ length: REQUESTS }, async () => {
          const response = await fetch(url);
          return response.text();
        }),
      );
      expect(texts).toEqual(texts.map(() => 'done'));
      expect(lines.slice(1)).toEqual([expect.stringContaining('TypeError: unexpected')]);
      expect((await fetch(url)).status).toBe(200);
    },
  );
});

it('reports the first of many errors of one origin, and counts all', () => {
  const lines: Readonly<Record<string, unknown>>[] = [];
  const counted: string[] = [];
  let nowMs = 0;
  const report = new FailureReport(
    { warn: (_message, fields = {}) => lines.push(fields) },
    { countFailure: (origin) => counted.push(origin) },
    () => nowMs,
  );
  for (; nowMs < 6_000; nowMs += 200) report.report('frame', new Error('x'), { kind: nowMs });
  report.report('record', new Error('y'));
  expect(lines).toMatchObject([
    { origin: 'frame', kind: 0, unlogged: 0 },
    { origin: 'frame', kind: 5_000, unlogged: 24 },
    { origin: 'record' },
  ]);
  expect(counted).toHaveLength(31);
});
