import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { CallerConnection } from '@daisyferry/sidecar/caller-connection';
import type { CutRequest } from '@daisyferry/sidecar/cut-requests';
import type { Respond } from '@daisyferry/sidecar/entry';
import { PipelineCounts } from '@daisyferry/sidecar/pipeline-counts';
import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

interface PassedOn {
  readonly path: string;
  readonly readMs: number;
  readonly respond: Respond;
  isCancelled: boolean;
}

function responseOf(text: string) {
  return { status: 200, reason: 'OK', fields: [], body: Buffer.from(text) };
}

function get(path: string, fields = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n${fields}\r\n`;
}

/** Requests below `/once/` may run at most once, all others beside each other. */
describe('pipelined requests of a caller', () => {
  let passedOn: PassedOn[];
  let counts: PipelineCounts;
  let cuts: string[];
  let surplusCount: number;
  let nowMs: number;
  let host: { isClosing: boolean };
  let connection: CallerConnection;
  let failingPath: string | undefined;
  let failures: string[];
  let budget: BufferBudget;
  let server: Server;
  let caller: Socket;
  let received: string;
  let hasEnded: boolean;

  const paths = () => passedOn.map(({ path }) => path);
  const cancelled = () => passedOn.filter(({ isCancelled }) => isCancelled).map(({ path }) => path);
  /** What the caller received: the status of each response, and the texts of the bodies. */
  const seen = () => received.match(/HTTP\/1.1 \d+|Connection: close|<[^>]*>/g) ?? [];
  const bodies = () => received.match(/<[^>]*>/g) ?? [];

  async function send(text: string, paths_: readonly string[]): Promise<void> {
    caller.write(text);
    await vi.waitFor(() => expect(paths()).toEqual(paths_));
  }

  function answer(path: string, response: Parameters<Respond>[0] = responseOf(`<${path}>`)): void {
    passedOn.find((request) => request.path === path)?.respond(response);
  }

  async function expectEnd(): Promise<void> {
    await vi.waitFor(() => expect(hasEnded).toBe(true));
    await sleep(20);
  }

  beforeEach(async () => {
    failingPath = undefined;
    failures = [];
    passedOn = [];
    counts = new PipelineCounts();
    cuts = [];
    surplusCount = 0;
    nowMs = 0;
    received = '';
    hasEnded = false;
    host = { isClosing: false };
    budget = new BufferBudget(64_000_000);
    const parts = {
      handle: (request: { head: { target: string } }, respond: Respond, readMs: number) => {
        if (request.head.target === failingPath) throw new Error(failingPath);
        const entry = { path: request.head.target, readMs, respond, isCancelled: false };
        passedOn.push(entry);
        return {
          callerDeadlineMs: readMs,
          cancel: () => {
            entry.isCancelled = true;
          },
        };
      },
      mayRunAhead: (request: { head: { target: string } }) =>
        !request.head.target.startsWith('/once/'),
      pipelineCounts: counts,
      limits: () => ({
        maxHeaderBytes: 1_024,
        maxBodyBytes: 200_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 60_000,
      }),
      bufferBudget: budget,
      onProblem: () => undefined,
      failures: {
        report: (origin: string, error: unknown) => {
          if (failingPath === undefined) throw error;
          failures.push(origin);
        },
      },
      onSurplusResponse: () => {
        surplusCount += 1;
      },
      onCut: ({ request, reason, phase, ageMs }: CutRequest) => {
        cuts.push(`${request.head.target} ${reason} ${phase} ${ageMs}`);
      },
      clock: () => nowMs,
    };
    server = createServer((socket) => {
      connection = new CallerConnection(
        socket,
        Object.assign(host, { parts, remove: () => undefined }),
      );
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    caller = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    caller.on('error', () => undefined);
    caller.on('end', () => {
      hasEnded = true;
    });
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  it('run side by side and are answered in order, though the second is ready first', async () => {
    await send(get('/a') + get('/b') + get('/c'), ['/a', '/b', '/c']);
    answer('/b');
    answer('/c');
    answer('/b');
    await sleep(20);
    expect(bodies()).toEqual([]);
    expect(counts).toMatchObject({ startedAhead: 2, heldBytes: 8 });
    answer('/a');
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>', '</b>', '</c>']));
    expect({ surplusCount, heldBytes: counts.heldBytes }).toEqual({
      surplusCount: 1,
      heldBytes: 0,
    });
  });

  it('wait for a request that may run once, which waits until it is the first', async () => {
    await send(get('/a') + get('/once/b') + get('/c'), ['/a']);
    await sleep(20);
    expect(paths()).toEqual(['/a']);
    nowMs = 70;
    answer('/a');
    await vi.waitFor(() => expect(paths()).toEqual(['/a', '/once/b']));
    await sleep(20);
    expect(paths()).toEqual(['/a', '/once/b']);
    answer('/once/b');
    await vi.waitFor(() => expect(paths()).toEqual(['/a', '/once/b', '/c']));
    expect(passedOn.map(({ readMs }) => readMs)).toEqual([0, 0, 0]);
    expect(counts.waitedMs).toBe(140);
  });

  it('are bounded in number', async () => {
    caller.write(Array.from({ length: 40 }, (_, index) => get(`/${index}`)).join(''));
    await vi.waitFor(() => expect(passedOn).toHaveLength(16));
    await sleep(20);
    expect(passedOn).toHaveLength(16);
    await vi.waitFor(() => {
      for (const path of paths()) answer(path);
      expect(bodies()).toHaveLength(40);
    });
  });

  it('start no further while many bytes wait for their turn, which are counted', async () => {
    const large = { ...responseOf('x'), body: Buffer.alloc(300_000) };
    await send(get('/a') + get('/b'), ['/a', '/b']);
    const requestBytes = budget.usedBytes;
    answer('/b', large);
    expect(budget.usedBytes - requestBytes).toBe(300_000);
    caller.write(get('/c'));
    await sleep(20);
    expect(paths()).toEqual(['/a', '/b']);
    answer('/a');
    await vi.waitFor(() => expect(paths()).toEqual(['/a', '/b', '/c']));
    // The request in progress still counts.
    await vi.waitFor(() => expect(budget.usedBytes).toBe(requestBytes / 2));
    answer('/c');
    await vi.waitFor(() => expect(budget.usedBytes).toBe(0));
  });

  it('are all cancelled when the caller is gone', async () => {
    await send(get('/a') + get('/b') + get('/c') + get('/d'), ['/a', '/b', '/c', '/d']);
    answer('/c', { ...responseOf('x'), body: Buffer.alloc(100_000) });
    caller.destroy();
    await vi.waitFor(() => expect(cancelled()).toEqual(expect.arrayContaining(['/a', '/b', '/d'])));
    expect({ used: budget.usedBytes, held: counts.heldBytes }).toEqual({ used: 0, held: 0 });
    answer('/a');
    expect(surplusCount).toBe(0);
  });

  it.each([
    { reason: 'callerLeft', act: () => caller.destroy() },
    { reason: 'stop', act: () => connection.close() },
  ])('are reported with their progress if they are cut by $reason', async ({ reason, act }) => {
    await send(get('/a') + get('/b') + get('/once/c'), ['/a', '/b']);
    answer('/b');
    nowMs = 40;
    act();
    await vi.waitFor(() => {
      expect(cuts).toEqual([
        `/a ${reason} passedOn 40`,
        `/b ${reason} answered 40`,
        `/once/c ${reason} notStarted 40`,
      ]);
    });
  });

  it('are all cancelled when the caller closes its side', async () => {
    await send(get('/a') + get('/b'), ['/a', '/b']);
    caller.end();
    await vi.waitFor(() => expect(cancelled()).toEqual(['/a', '/b']));
  });

  it('are answered before bytes behind them are rejected and the connection closes', async () => {
    await send(`${get('/a')}${get('/b')}no request\r\n\r\n${get('/c')}`, ['/a', '/b']);
    answer('/b');
    expect(received).toBe('');
    answer('/a');
    await expectEnd();
    expect(paths()).toEqual(['/a', '/b']);
    expect(seen()).toEqual([
      'HTTP/1.1 200',
      '</a>',
      'HTTP/1.1 200',
      '</b>',
      'HTTP/1.1 400',
      'Connection: close',
    ]);
  });

  it.each([
    { status: 413, bytes: 'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n' },
    { status: 431, bytes: `GET /${'x'.repeat(2_000)} HTTP/1.1\r\nHost: h\r\n\r\n` },
  ])('are answered before one behind them gets $status', async ({ status, bytes }) => {
    await send(get('/a') + bytes + get('/c'), ['/a']);
    answer('/a');
    await expectEnd();
    expect(paths()).toEqual(['/a']);
    expect(seen()).toEqual(['HTTP/1.1 200', '</a>', `HTTP/1.1 ${status}`, 'Connection: close']);
  });

  it('are answered before one that arrives too slowly gets 408', async () => {
    await send(`${get('/a')}GET /slow HTTP/1.1\r\n`, ['/a']);
    connection.checkTimeouts(1_001);
    connection.checkTimeouts(70_000);
    answer('/a');
    await expectEnd();
    expect(seen()).toEqual(['HTTP/1.1 200', '</a>', 'HTTP/1.1 408', 'Connection: close']);
  });

  it('keep their connection beyond the idle time', async () => {
    await send(get('/a') + get('/b'), ['/a', '/b']);
    connection.checkTimeouts(70_000);
    connection.endIfIdle();
    nowMs = 70_000;
    answer('/b');
    answer('/a');
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>', '</b>']));
    connection.checkTimeouts(70_001);
    expect(hasEnded).toBe(false);
  });

  it('that were read before a stop are all answered, and the last says that it closes', async () => {
    await send(get('/a') + get('/b') + get('/once/c') + get('/d') + get('/e'), ['/a', '/b']);
    host.isClosing = true;
    caller.write(get('/f'));
    await sleep(20);
    answer('/a');
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>']));
    answer('/b');
    for (const path of ['/once/c', '/d', '/e', '/f']) {
      await vi.waitFor(() => expect(paths().at(-1)).toBe(path));
      answer(path);
    }
    await expectEnd();
    expect(paths()).toEqual(['/a', '/b', '/once/c', '/d', '/e', '/f']);
    const rest = ['</b>', '</once/c>', '</d>', '</e>'].flatMap((body) => ['HTTP/1.1 200', body]);
    expect(seen()).toEqual([
      ...['HTTP/1.1 200', '</a>', ...rest],
      ...['HTTP/1.1 200', 'Connection: close', '</f>'],
    ]);
  });

  it('that arrive during a stop run one after the other and are all answered', async () => {
    host.isClosing = true;
    await send(get('/a') + get('/b') + get('/c').slice(0, 12), ['/a']);
    await sleep(20);
    expect(paths()).toEqual(['/a']);
    answer('/a');
    await vi.waitFor(() => expect(paths()).toEqual(['/a', '/b']));
    answer('/b');
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>', '</b>']));
    expect(hasEnded).toBe(false);
    await send(get('/c').slice(12), ['/a', '/b', '/c']);
    answer('/c');
    await expectEnd();
    expect(seen().slice(-3)).toEqual(['HTTP/1.1 200', 'Connection: close', '</c>']);
  });

  it('that wait to be read are answered before a stop refuses what has partly arrived', async () => {
    const all = Array.from({ length: 20 }, (_, index) => `/once/${index + 1}`);
    host.isClosing = true;
    await send(`${all.map((path) => get(path)).join('')}${get('/rest').slice(0, 12)}`, ['/once/1']);
    connection.refuseArriving();
    for (const path of all) {
      await vi.waitFor(() => expect(paths().at(-1)).toBe(path));
      connection.refuseArriving();
      answer(path);
    }
    await vi.waitFor(() => expect(bodies()).toEqual(all.map((path) => `<${path}>`)));
    connection.refuseArriving();
    await expectEnd();
    expect(paths()).toEqual(all);
    expect(seen().slice(-3)).toEqual([`<${all.at(-1)}>`, ...['HTTP/1.1 503', 'Connection: close']]);
  });

  it('do not wait forever if handling one of as many as are read at once fails', async () => {
    failingPath = '/3';
    const paths16 = Array.from({ length: 16 }, (_, index) => `/${index + 1}`);
    caller.write(paths16.map((path) => get(path)).join(''));
    await vi.waitFor(() => expect(caller.closed).toBe(true));
    expect(failures).toEqual(['caller']);
  });

  it('behind a request that closes the connection are not read', async () => {
    await send(get('/a') + get('/b', 'Connection: close\r\n') + get('/c'), ['/a', '/b']);
    answer('/b');
    answer('/a');
    await expectEnd();
    expect(paths()).toEqual(['/a', '/b']);
    expect(seen()).toEqual(['HTTP/1.1 200', '</a>', 'HTTP/1.1 200', 'Connection: close', '</b>']);
  });

  it('are answered behind a response without a length, which is given up for theirs', async () => {
    await send(get('/a') + get('/b') + get('/c'), ['/a', '/b', '/c']);
    answer('/b', { ...responseOf('</b>'), endsWithConnection: true });
    expect(cancelled()).toEqual([]);
    await send(get('/d'), ['/a', '/b', '/c', '/d']);
    for (const path of ['/c', '/d', '/a']) answer(path);
    const ok = 'HTTP/1.1 200';
    await vi.waitFor(() =>
      expect(seen()).toEqual([ok, '</a>', 'HTTP/1.1 502', ok, '</c>', ok, '</d>']),
    );
    expect({ surplusCount, hasEnded, replaced: counts.replacedUnframed }).toEqual({
      surplusCount: 0,
      hasEnded: false,
      replaced: 1,
    });
  });

  it('that wait behind a response without a length are not passed on', async () => {
    await send(get('/a') + get('/b') + get('/once/c') + get('/d'), ['/a', '/b']);
    answer('/b', { ...responseOf('</b>'), endsWithConnection: true });
    expect(cuts).toEqual(['/once/c behindClose notStarted 0', '/d behindClose notStarted 0']);
    caller.write(get('/e'));
    await sleep(20);
    answer('/a');
    await expectEnd();
    expect(paths()).toEqual(['/a', '/b']);
    expect(seen()).toEqual(['HTTP/1.1 200', '</a>', 'HTTP/1.1 200', 'Connection: close', '</b>']);
  });

  it('go on behind one that is refused early', async () => {
    await send(get('/a') + get('/b') + get('/c'), ['/a', '/b', '/c']);
    answer('/b', { ...responseOf('<no>'), status: 503 });
    answer('/c');
    answer('/a');
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>', '<no>', '</c>']));
    expect(hasEnded).toBe(false);
  });

  it('send no body for a HEAD request among them', async () => {
    await send(get('/a') + get('/b').replace('GET', 'HEAD') + get('/c'), ['/a', '/b', '/c']);
    for (const path of ['/c', '/b', '/a']) answer(path);
    await vi.waitFor(() => expect(bodies()).toEqual(['</a>', '</c>']));
  });

  it('hold back 100 Continue until those ahead are answered', async () => {
    const head = 'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n';
    await send(get('/a') + head, ['/a']);
    connection.checkTimeouts(5_000);
    await sleep(20);
    expect(received).toBe('');
    answer('/a');
    await vi.waitFor(() => expect(seen()).toEqual(['HTTP/1.1 200', '</a>', 'HTTP/1.1 100']));
    await send('x', ['/a', '/b']);
  });
});
