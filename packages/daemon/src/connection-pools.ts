import { Pool } from 'undici';

/** Lifetime of an idle connection; servers of this project keep idle connections longer. */
const IDLE_CONNECTION_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

export interface TlsKeyMaterial {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
}

/** Purpose of a pool; purposes do not share connections. */
export type PoolPurpose = 'calls' | 'forwarded' | 'rpc';

/**
 * Connection pools by address and purpose; each connection serves one request at a time. The first
 * use of a pool determines its number of connections, so purposes with different limits must not
 * share a pool.
 */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  constructor(private tls?: TlsKeyMaterial) {}

  poolFor(address: string, port: number, connections: number, purpose: PoolPurpose): Pool {
    const origin = this.originOf(address, port);
    const key = `${purpose} ${origin}`;
    const existing = this.pools.get(key);
    if (existing !== undefined) return existing;
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
   * Closes a pool once its calls have ended. A pool uses memory even without connections, so users
   * that call many different addresses must close pools that they no longer need.
   */
  async retire(address: string, port: number, purpose: PoolPurpose): Promise<void> {
    const key = `${purpose} ${this.originOf(address, port)}`;
    const pool = this.pools.get(key);
    this.pools.delete(key);
    await pool?.close();
  }

  /** Uses new key material for new connections; calls in progress finish on the old ones. */
  async replaceTls(tls: TlsKeyMaterial): Promise<void> {
    this.tls = tls;
    await this.close();
  }

  /** Closes all pools once their calls have ended. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(async (pool) => pool.close()));
  }

  /** Closes all connections immediately. */
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
