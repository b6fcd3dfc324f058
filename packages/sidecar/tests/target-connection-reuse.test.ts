import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { TargetExchangeResult } from '@daisyferry/sidecar/target-connection';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';
import { afterEach, describe, expect, it } from 'vitest';
import { WrittenTarget } from './support/written-target';

const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
const BUDGET_BYTES = 1_000_000;
const REQUESTS = 1_000;
const CONCURRENT = 4;

describe('reuse of connections to the target', () => {
  let target: WrittenTarget | undefined;

  afterEach(() => target?.close());

  async function openPool(): Promise<TargetConnectionPool> {
    target = new WrittenTarget((socket, request) => {
      const id = /x-id: (\S+)/.exec(request)?.[1] ?? '';
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n`);
    });
    const address = { ip: '127.0.0.1', port: await target.listen() };
    const discarded = { discarded: () => undefined };
    const clock = () => performance.now();
    return new TargetConnectionPool(
      address,
      FIELD_NAMES,
      clock,
      new BufferBudget(BUDGET_BYTES),
      discarded,
    );
  }

  function exchange(pool: TargetConnectionPool, id: string): Promise<TargetExchangeResult> {
    return new Promise((resolve) => {
      pool.send(id, false, [Buffer.from(`GET / HTTP/1.1\r\nx-id: ${id}\r\n\r\n`)], resolve);
    });
  }

  // Guards against connections that are closed and opened again although they could be used.
  it('sends a thousand requests on one connection', async () => {
    const pool = await openPool();
    for (let number = 0; number < REQUESTS; number += 1)
      expect((await exchange(pool, `r${number}`)).kind).toBe('response');
    // A request may look like an earlier one on a connection, and needs another one then.
    expect(pool.openedCount).toBeLessThanOrEqual(2);
    pool.destroyIdle();
  });

  // Guards against a request that is sent again and closes each connection that has carried its id.
  it('keeps idle connections that must not carry a certain request', async () => {
    const pool = await openPool();
    const ids = Array.from({ length: CONCURRENT }, (_, index) => `first-${index}`);
    await Promise.all(ids.map((id) => exchange(pool, id)));
    for (let count = 0; count < CONCURRENT; count += 1) await exchange(pool, 'again');
    expect(pool.openedCount).toBe(CONCURRENT);
    await Promise.all(ids.map((id) => exchange(pool, `second-${id}`)));
    expect(pool.openedCount).toBe(CONCURRENT);
    pool.destroyIdle();
  });
});
