import type { QuotaVerdict } from '@daisyferry/accounts/quota-gate';
import type { ClientAccount } from '@daisyferry/mesh/client-account';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { RouteTable } from '@daisyferry/mesh/route-table';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import type { FrameKindNumber } from '@daisyferry/peering/frame';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import type { ControlFrameHandler } from '@daisyferry/sidecar/peer-connections';
import { QuotaExchange } from '@daisyferry/sidecar/quota-exchange';
import { describe, expect, it } from 'vitest';

const ACCOUNTS: readonly ClientAccount[] = Array.from({ length: 10 }, (_, index) => ({
  name: `a-${index}`,
  keys: [`secret-${index}`],
  priority: undefined,
  ratePerS: 2,
  burst: 2,
}));
const EMPTY = Buffer.alloc(0);

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Two daemons whose frames arrive at once. */
class Pair {
  nowMs = 0;

  readonly heads: string[] = [];

  private readonly handlers = new Map<string, ControlFrameHandler>();

  readonly exchanges: readonly QuotaExchange[];

  constructor(accounts: readonly ClientAccount[]) {
    const configuration = { version: 1, routes: [], accounts } as unknown as RoutingConfiguration;
    const routes = new RouteTable(configuration);
    this.exchanges = ['d-1', 'd-2'].map((ownDaemonId) => this.build(ownDaemonId, routes));
    this.advance(3_000);
  }

  advance(durationMs: number): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 50)
      // Questions without content: the daemons decide on time, as with each frame.
      for (const id of ['d-1', 'd-2']) this.deliver('d-0', id, 21, '[0]');
  }

  private build(ownDaemonId: string, routes: RouteTable): QuotaExchange {
    const directory = new FleetDirectory();
    const exchange = new QuotaExchange({
      ownDaemonId,
      ownZone: 'z',
      windowMs: () => undefined,
      directory,
      peers: {
        setHandler: (kind, handler) => this.handlers.set(`${ownDaemonId} ${kind}`, handler),
        sendControlTo: (daemonId, kind, head) => {
          this.deliver(ownDaemonId, daemonId, kind, head);
          return true;
        },
      },
      routes: () => routes,
      log: { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog,
      clock: () => this.nowMs,
    });
    for (const daemonId of ['d-1', 'd-2']) {
      const record = {
        daemonId,
        incarnation: 1,
        revision: 1,
        address: new SocketAddress('10.0.0.1', 1),
        zone: 'z',
      };
      directory.applyRecord({ ...record, isLeaving: false, target: undefined }, 'stored', 0);
      if (daemonId !== ownDaemonId) exchange.handleLink(daemonId, 'up');
    }
    return exchange;
  }

  deliver(fromId: string, toId: string, kind: FrameKindNumber, head: string): void {
    this.heads.push(head);
    const sender = {
      sendControl: (replyKind: FrameKindNumber, reply: string) => {
        if (fromId !== 'd-0') this.deliver(toId, fromId, replyKind, reply);
      },
    };
    const frame = { kind, stream: 0, head, body: EMPTY };
    this.handlers.get(`${toId} ${kind}`)?.(frame, fromId, sender);
  }
}

describe('QuotaExchange', () => {
  it('keeps each account to its limit over two daemons, whichever is its home', async () => {
    const pair = new Pair(ACCOUNTS);
    for (const account of ACCOUNTS) {
      const verdicts: QuotaVerdict['kind'][] = [];
      for (let index = 0; index < 40; index += 1) {
        const { gate } = pair.exchanges[index % 2] ?? {};
        const settle = ({ kind }: QuotaVerdict) => verdicts.push(kind);
        const verdict = gate?.request(account, pair.nowMs + 500, pair.nowMs, settle);
        if (verdict !== undefined && verdict.kind !== 'waiting') settle(verdict);
        await nextTurn();
      }
      const admitted = verdicts.filter((kind) => kind === 'admitted').length;
      expect(verdicts).toHaveLength(40);
      expect(admitted).toBeGreaterThanOrEqual(2);
      expect(admitted).toBeLessThanOrEqual((2 * 5 + 2) * 1.1 + 20);
    }
    const text = [...pair.heads, ...(pair.exchanges[0]?.metricLines() ?? [])].join(' ');
    expect(text).toContain('a-3');
    expect(text).not.toContain('secret');
  });

  it('names ten accounts in the metrics and sums up the others', async () => {
    const many = Array.from({ length: 30 }, (_, index) => ({
      ...(ACCOUNTS[0] as ClientAccount),
      name: `m-${index}`,
    }));
    const pair = new Pair(many);
    for (const account of many) {
      pair.exchanges[0]?.gate.request(account, pair.nowMs + 500, pair.nowMs, () => undefined);
      await nextTurn();
    }
    const lines = [...(pair.exchanges[0]?.metricLines() ?? [])].filter((line) =>
      line.startsWith('daisyferry_account_requests_total'),
    );
    expect(lines).toHaveLength(22);
    expect(lines).toContain(
      'daisyferry_account_requests_total{others="true",outcome="admitted"} 20',
    );
  });

  it.each([21, 22] as const)('ignores a frame of kind %d that cannot be read', (kind) => {
    const pair = new Pair(ACCOUNTS);
    for (const head of ['', '[', '{}', '[1,"a"]', '["x"]'])
      expect(() => pair.deliver('d-0', 'd-1', kind, head)).not.toThrow();
  });
});
