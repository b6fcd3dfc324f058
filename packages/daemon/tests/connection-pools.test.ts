import { describe, expect, it } from 'vitest';
import { ConnectionPools } from '../src/connection-pools';

describe('ConnectionPools', () => {
  it('shares a pool between calls to one address but not between calls and JSON-RPC', async () => {
    const pools = new ConnectionPools();
    const rpc = pools.poolFor('127.0.0.1', 1, 2, 'rpc');
    const calls = pools.poolFor('127.0.0.1', 1, 47, 'calls');
    expect(calls).not.toBe(rpc);
    expect(pools.poolFor('127.0.0.1', 1, 47, 'calls')).toBe(calls);
    expect(pools.poolFor('127.0.0.1', 2, 47, 'calls')).not.toBe(calls);
    await pools.destroy();
  });

  it('closes only the retired pool', async () => {
    const pools = new ConnectionPools();
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
