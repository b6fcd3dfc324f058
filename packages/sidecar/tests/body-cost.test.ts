import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { TargetExchangeResult } from '@daisyferry/sidecar/target-connection';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';

const BODY_BYTES = 2_000_000;
const BUDGET_BYTES = 100_000_000;
const EXCHANGES = 5;
const ROUNDS = 3;
/** Processor time for a byte of a body in chunks of one byte relative to one in one piece. */
const MAX_TIME_RATIO = 5;
const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
/** A target in a process of its own, so that its processor time is not counted. */
const TARGET = `
  const { createServer } = require('node:net');
  const [framing, unit, count, end] = JSON.parse(process.argv[1]);
  const head = 'HTTP/1.1 200 OK\\r\\nX-Id: r\\r\\nX-Signature: s\\r\\n' + framing + '\\r\\n\\r\\n';
  const response = Buffer.from(head + unit.repeat(count) + end);
  const server = createServer((socket) => {
    socket.on('data', () => socket.write(response));
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1', () => {
    process.send({ port: server.address().port, bytes: response.length });
  });
  process.on('disconnect', () => process.exit());
`;

describe('processor time of response bodies', () => {
  const targets: ChildProcess[] = [];

  afterEach(() => {
    for (const target of targets.splice(0)) target.kill();
  });

  /** Processor time for each byte that is received, in ns; the least of some rounds. */
  async function nsPerByte(framing: string, unit: string, end: string): Promise<number> {
    const args = JSON.stringify([framing, unit, BODY_BYTES, end]);
    const target = spawn(process.execPath, ['-e', TARGET, args], {
      stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
    });
    targets.push(target);
    const [{ port, bytes }] = (await once(target, 'message')) as [{ port: number; bytes: number }];
    const pool = new TargetConnectionPool(
      { ip: '127.0.0.1', port },
      FIELD_NAMES,
      () => performance.now(),
      new BufferBudget(BUDGET_BYTES),
      { discarded: () => undefined },
    );
    const message = [Buffer.from('GET / HTTP/1.1\r\n\r\n')];
    const exchange = () =>
      new Promise<TargetExchangeResult>((resolve) => {
        pool.send('r', false, message, resolve);
      });
    let least = Number.POSITIVE_INFINITY;
    for (let round = 0; round < ROUNDS; round += 1) {
      const before = process.cpuUsage();
      for (let count = 0; count < EXCHANGES; count += 1) {
        const result = await exchange();
        if (result.kind !== 'response') throw new Error(JSON.stringify(result));
        expect(result.response.body.length).toBe(BODY_BYTES);
      }
      const { user, system } = process.cpuUsage(before);
      least = Math.min(least, ((user + system) * 1_000) / (bytes * EXCHANGES));
    }
    pool.destroyIdle();
    return least;
  }

  it('is at most five times as much a byte in chunks of one byte as in one piece', async () => {
    const inOnePiece = await nsPerByte(`Content-Length: ${BODY_BYTES}`, 'x', '');
    const inChunks = await nsPerByte('Transfer-Encoding: chunked', '1\r\nx\r\n', '0\r\n\r\n');
    expect(inChunks).toBeLessThan(MAX_TIME_RATIO * inOnePiece);
  }, 60_000);
});
