import { describe, expect, it } from 'vitest';
import { PoolBook } from '../src/pool-book';

describe('PoolBook', () => {
  it('shares a pool between calls to one address, and none between calls and JSON-RPC', async () => {
    const pools = new PoolBook();
    const rpc = pools.poolFor('127.0.0.1', 1, 2, 'rpc');
    const calls = pools.poolFor('127.0.0.1', 1, 47, 'calls');
    expect(calls).not.toBe(rpc);
    expect(pools.poolFor('127.0.0.1', 1, 47, 'calls')).toBe(calls);
    expect(pools.poolFor('127.0.0.1', 2, 47, 'calls')).not.toBe(calls);
    await pools.destroy();
  });

  it('lets go of a retired pool and of no other', async () => {
    const pools = new PoolBook();
    const rpc = pools.poolFor('127.0.0.1', 1, 2, 'rpc');
    const calls = pools.poolFor('127.0.0.1', 1, 47, 'calls');
    await pools.retire('127.0.0.1', 1, 'rpc');
    expect(rpc.closed).toBe(true);
    expect(pools.poolFor('127.0.0.1', 1, 2, 'rpc')).not.toBe(rpc);
    expect(pools.poolFor('127.0.0.1', 1, 47, 'calls')).toBe(calls);
    await pools.retire('127.0.0.1', 9, 'rpc');
    await pools.destroy();
  });
});
