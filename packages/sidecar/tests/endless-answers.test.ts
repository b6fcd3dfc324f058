import { build } from 'esbuild';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, expect, it } from 'vitest';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const PROGRAM = fileURLToPath(new URL('support/read-endless-answers.ts', import.meta.url));
const TEST_TIMEOUT_MS = 60_000;
/** The smallest machine of the deployments, and the part of its memory for everything else. */
const MEMORY_LIMIT_MB = 250;
const OTHER_MEMORY_MB = 50;
const BUDGET_BYTES = MEMORY_LIMIT_MB * 1_048_576 * 0.3;
/** Requests that its target processes at the same time. */
const EXCHANGES = 195;
/** A target in a process of its own that answers until the connection is closed. */
const TARGET = `
  const { createServer } = require('node:net');
  const [framing, unit, count] = JSON.parse(process.argv[1]);
  const piece = Buffer.from(unit.repeat(count));
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.once('data', (data) => {
      const id = /X-Id: (\\S+)/.exec(String(data))[1];
      socket.write('HTTP/1.1 200 OK\\r\\nX-Id: ' + id + '\\r\\nX-Signature: s\\r\\n' + framing);
      const send = () => { while (!socket.destroyed && socket.write(piece)); };
      socket.on('drain', send);
      send();
    });
  });
  server.listen(0, '127.0.0.1', () => process.send({ port: server.address().port }));
  process.on('disconnect', () => process.exit());
`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

let folder: string;
let program: string;
let targets: ChildProcess[];

beforeAll(async () => {
  targets = [];
  folder = mkdtempSync(path.join(tmpdir(), 'daisyferry-endless-'));
  program = path.join(folder, 'program.mjs');
  await build({
    entryPoints: [PROGRAM],
    outfile: program,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
  });
}, TEST_TIMEOUT_MS);

afterAll(() => {
  for (const target of targets) target.kill();
  rmSync(folder, { recursive: true });
});

/** The flags with which the deploy file starts a daemon. */
function nodeFlags(): string[] {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "node (.*) \S+"$/m.exec(text)?.[1]?.split(' ') ?? [];
}

// Guards against a daemon that runs out of memory for answers without an end (LOST).
it.each([
  { name: 'until the connection ends', framing: '\r\n', unit: 'x', count: 65_536 },
  { name: 'in chunks', framing: CHUNKED, unit: `4000\r\n${'x'.repeat(16_384)}\r\n`, count: 8 },
  { name: 'in chunks of one byte', framing: CHUNKED, unit: '1\r\nx\r\n', count: 10_000 },
  { name: 'in a head', framing: '', unit: 'X-Field: value\r\n', count: 4_000 },
  {
    name: 'with a huge length',
    framing: 'Content-Length: 900000000000000\r\n\r\n',
    unit: 'x',
    count: 65_536,
  },
])(
  'answers without an end, $name, stay within the memory of a small machine',
  async ({ framing, unit, count }) => {
    const args = JSON.stringify([framing, unit, count]);
    const target = spawn(process.execPath, ['-e', TARGET, args], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    targets.push(target);
    const [{ port }] = (await once(target, 'message')) as [{ readonly port: number }];
    const reader = spawn(
      process.execPath,
      [...nodeFlags(), program, String(port), String(EXCHANGES), String(BUDGET_BYTES)],
      { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] },
    );
    targets.push(reader);
    const [result] = (await once(reader, 'message')) as [{ lostCount: number; peakMb: number }];
    target.kill();
    expect(result.lostCount).toBe(EXCHANGES);
    expect(result.peakMb).toBeLessThan(MEMORY_LIMIT_MB - OTHER_MEMORY_MB);
  },
  TEST_TIMEOUT_MS,
);
