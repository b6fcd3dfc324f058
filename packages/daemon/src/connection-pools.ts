import { Pool } from 'undici';

/** How long an idle connection is kept; servers of the project keep theirs longer. */
const IDLE_CONNECTION_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

export interface PoolTls {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
}

/** What the connections of a pool carry; each purpose has connections of its own. */
export type PoolPurpose = 'calls' | 'forwarded' | 'rpc';

/**
 * Connection pools by address and purpose; each connection carries one request at a time. The first
 * use of a pool fixes its number of connections, so purposes with other bounds must not share one.
 */
export class PoolBook {
  private readonly pools = new Map<string, Pool>();

  constructor(private tls?: PoolTls) {}

  poolFor(address: string, port: number, connections: number, purpose: PoolPurpose): Pool {
    const origin = this.originOf(address, port);
    const key = `${purpose} ${origin}`;
    const present = this.pools.get(key);
    if (present !== undefined) return present;
    const pool = new Pool(origin, {
      connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS, ...this.tls },
    });
    this.pools.set(key, pool);
    return pool;
  }

  /**
   * Closes a pool once its calls have ended. Each pool holds memory also without a connection, so
   * whoever calls ever other addresses has to let go of them.
   */
  async retire(address: string, port: number, purpose: PoolPurpose): Promise<void> {
    const key = `${purpose} ${this.originOf(address, port)}`;
    const pool = this.pools.get(key);
    this.pools.delete(key);
    await pool?.close();
  }

  /** New connections use the new key material; calls under way finish on the old ones. */
  async replaceTls(tls: PoolTls): Promise<void> {
    this.tls = tls;
    await this.close();
  }

  /** Closes all pools once their calls have ended. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(async (pool) => pool.close()));
  }

  /** Ends all connections at once. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(async (pool) => pool.destroy()));
  }

  private originOf(address: string, port: number): string {
    const host = address.includes(':') ? `[${address}]` : address;
    const scheme = this.tls === undefined ? 'http' : 'https';
    return `${scheme}://${host}:${port}`;
  }
}
