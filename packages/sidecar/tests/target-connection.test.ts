import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { DiscardedResponse } from '@daisyferry/sidecar/discarded-response';
import { DiscardedResponseReport } from '@daisyferry/sidecar/discarded-response-report';
import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';
import type { TargetExchangeResult } from '@daisyferry/sidecar/target-connection';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

const ID_FIELD = 'X-Id';
const LATE_MS = 20;
const END = { kind: 'end' } as const;
const RESET = { kind: 'reset' } as const;

/** Bytes to write, a pause in ms, or how the connection ends. */
type Step = string | number | typeof END | typeof RESET;

interface ResponseOptions {
  /** Id fields of the head, in order. */
  readonly ids: readonly string[];
  readonly status?: string;
  readonly fields?: readonly string[];
  /** Value of the length field; null for none. */
  readonly length?: number | null;
}

function responseTo(body: string, options: ResponseOptions): string {
  const { ids, status = '200 OK', fields = [], length = body.length } = options;
  const lines = [
    `HTTP/1.1 ${status}`,
    ...ids.map((id) => `${ID_FIELD}: ${id}`),
    'X-Signature: s',
    ...fields,
    ...(length === null ? [] : [`Content-Length: ${length}`]),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const FIRST = responseTo('first', { ids: ['r1'] });
const SECOND = responseTo('second body', { ids: ['r2'] });
const SECOND_UNFRAMED = responseTo('second body', { ids: ['r2'], length: null });

/** A listening socket in place of the target: plays the steps of one script for each request. */
class ScriptedTarget {
  connectionCount = 0;

  private readonly scripts: (readonly Step[])[] = [];

  private readonly sockets = new Set<Socket>();

  private readonly server: Server = createServer((socket) => this.accept(socket));

  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  answerNext(...steps: readonly Step[]): void {
    this.scripts.push(steps);
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', () => this.play(socket, this.scripts.shift() ?? []));
  }

  private async play(socket: Socket, steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      if (typeof step === 'string') socket.write(step);
      else if (typeof step === 'number') await sleep(step);
      else if (step.kind === 'end') socket.end();
      else socket.resetAndDestroy();
    }
  }
}

describe('connection to the target', () => {
  let target: ScriptedTarget;
  let pool: TargetConnectionPool;
  let discarded: DiscardedResponse[];

  beforeEach(async () => {
    target = new ScriptedTarget();
    discarded = [];
    pool = new TargetConnectionPool(
      { ip: '127.0.0.1', port: await target.listen() },
      { requestId: ID_FIELD.toLowerCase(), signature: 'x-signature', notRun: 'x-not-run' },
      () => performance.now(),
      new BufferBudget(1_000_000),
      { discarded: (response) => discarded.push(response) },
    );
  });

  afterEach(() => {
    pool.destroyIdle();
    target.close();
  });

  function request(requestId: string, ...steps: readonly Step[]): Promise<TargetExchangeResult> {
    target.answerNext(...steps);
    return new Promise((resolve) => {
      pool.send(requestId, false, [Buffer.from(`GET / HTTP/1.1\r\n\r\n`)], resolve);
    });
  }

  /** Result of a request that follows another one on the same connection. */
  async function requestOnReusedConnection(
    ...steps: readonly Step[]
  ): Promise<TargetExchangeResult> {
    await request('r1', FIRST);
    const result = await request('r2', ...steps);
    expect(target.connectionCount).toBe(1);
    return result;
  }

  it('does not take a late copy without an id for the response', async () => {
    const copy = responseTo('first', { ids: [] });
    const result = await requestOnReusedConnection(copy, SECOND);
    expect(result.kind).toBe('lost');
  });

  it('does not believe a response whose id fields differ', async () => {
    const mixed = responseTo('first', { ids: ['r2', 'r1'] });
    const result = await requestOnReusedConnection(mixed);
    expect(result.kind).toBe('lost');
  });

  it('does not add a late copy to a body without a length', async () => {
    const result = await requestOnReusedConnection(SECOND_UNFRAMED, LATE_MS, SECOND_UNFRAMED, END);
    expect(result.kind).toBe('lost');
  });

  it.each([1, 5, 30, 200])(
    'does not fill a body that lacks %i bytes with a late copy',
    async (missingBytes) => {
      const body = 'x'.repeat(300);
      const cut = responseTo(body.slice(missingBytes), { ids: ['r2'], length: body.length });
      const copy = responseTo(body, { ids: ['r2'] });
      const result = await requestOnReusedConnection(cut, LATE_MS, copy);
      expect(result.kind).toBe('lost');
    },
  );

  it.each([
    ['421', '421 Misdirected Request', []],
    ['503 that says not run', '503 Service Unavailable', ['X-Not-Run: 1']],
  ])('takes no %s without an id for a guarantee', async (_name, status, fields) => {
    const result = await requestOnReusedConnection(responseTo('', { ids: [], status, fields }));
    expect(result.kind).toBe('lost');
  });

  it('takes a response without an id on a connection that carried no other request', async () => {
    const result = await request('r1', responseTo('first', { ids: [] }));
    expect(result).toMatchObject({ response: { body: Buffer.from('first') } });
  });

  it('sends a request without an id on a connection of its own', async () => {
    await request('r1', FIRST);
    for (const body of ['a', 'b']) {
      const result = await request('', responseTo(body, { ids: [] }));
      expect(result).toMatchObject({ response: { body: Buffer.from(body) } });
    }
    expect(target.connectionCount).toBe(3);
  });

  it('sends a request whose id was just used on another connection', async () => {
    await request('r1', FIRST);
    const again = responseTo('again', { ids: ['r1'] });
    expect(await request('r1', again)).toMatchObject({ response: { body: Buffer.from('again') } });
    expect(target.connectionCount).toBe(2);
  });

  it('gives a request that is sent as the last one ends its own response', async () => {
    target.answerNext(FIRST);
    target.answerNext(FIRST, SECOND);
    const message = [Buffer.from('GET / HTTP/1.1\r\n\r\n')];
    const second = new Promise<TargetExchangeResult>((resolve) => {
      pool.send('r1', false, message, () => pool.send('r2', false, message, resolve));
    });
    expect(await second).toMatchObject({ response: { body: Buffer.from('second body') } });
    expect(target.connectionCount).toBe(1);
  });

  it.each([
    ['late copies', [FIRST, FIRST, SECOND]],
    ['a late copy in pieces', [FIRST.slice(0, 30), LATE_MS, FIRST.slice(30), SECOND]],
    ['an interim response and a late copy', ['HTTP/1.1 100 Continue\r\n\r\n', FIRST, SECOND]],
  ] as const)('finds the response behind %s', async (_name, steps) => {
    const result = await requestOnReusedConnection(...steps);
    expect(result).toMatchObject({ response: { body: Buffer.from('second body') } });
  });

  it.each([
    ['a copy cut in its head', [FIRST.slice(0, 30), SECOND]],
    ['a copy cut in its body', [FIRST.slice(0, -2), SECOND]],
    ['a copy without a length', [responseTo('first', { ids: ['r1'], length: null }), SECOND, END]],
    ['a copy cut where a field value ends', [FIRST.slice(0, FIRST.indexOf('\r\nContent')), SECOND]],
    [
      'its own head cut where a field value ends',
      [SECOND.slice(0, SECOND.indexOf('\r\nContent')), LATE_MS, SECOND],
    ],
    ['its own status line cut short', ['HTTP/1.1 200 ', LATE_MS, SECOND.replace('200', '500')]],
    ['the bytes of a body', ['first', SECOND]],
    ['empty lines', ['\r\n\r\n', SECOND]],
  ] as const)('does not guess a response behind %s', async (_name, steps) => {
    expect((await requestOnReusedConnection(...steps)).kind).toBe('lost');
  });

  it.each([
    ['otherRequest', [FIRST, SECOND], { responseIds: ['r1'], status: 200, bytes: 5 }],
    ['unreadable', ['nonsense\r\n\r\n'], { responseIds: [], status: undefined }],
    ['bytesAfterResponse', [SECOND + FIRST], { responseIds: ['r2'], bytes: FIRST.length }],
    ['noRequest', [SECOND, LATE_MS, FIRST], { responseIds: [], bytes: FIRST.length }],
  ] as const)('leaves a trace of what it discards: %s', async (reason, steps, facts) => {
    await requestOnReusedConnection(...steps);
    const expected = { reason, requestId: 'r2', isReused: true, ...facts };
    await vi.waitFor(() => expect(discarded).toMatchObject([expected]));
  });

  it('limits what the ids of a response add to the log', () => {
    const lines: unknown[] = [];
    const metrics = new SidecarMetrics();
    const log = { decision: (_message: string, fields: unknown) => lines.push(fields) };
    const response = { reason: 'otherRequest', requestId: 'r2', status: 200, bytes: 0 } as const;
    const responseIds = Array.from({ length: 1_000 }, () => 'x'.repeat(1_000));
    const report = new DiscardedResponseReport(log, metrics);
    report.discarded({ ...response, responseIds, isReused: true, waitedMs: 0.1 });
    expect(JSON.stringify(lines).length).toBeLessThan(1_000);
    expect(metrics.render()).toContain(
      'daisyferry_target_responses_discarded_total{reason="otherRequest"} 1',
    );
  });

  it.each([
    ['ends with the letter H', responseTo('with an H', { ids: ['r2'] }) + FIRST],
    ['mentions the protocol', responseTo('HTTP/1.1 and 200 OK', { ids: ['r2'] })],
  ])('believes a whole response whose body %s', async (_name, bytes) => {
    expect((await requestOnReusedConnection(bytes)).kind).toBe('response');
  });

  it('does not take a reset for the end of a body without a length', async () => {
    const result = await requestOnReusedConnection(SECOND_UNFRAMED, LATE_MS, RESET);
    expect(result.kind).toBe('lost');
  });
});
