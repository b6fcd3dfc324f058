import type { RequestMessage } from '@daisyferry/http1/message';
import { BufferBudget, HeldBody } from '@daisyferry/mesh/buffer-budget';
import { CallerConnection } from '@daisyferry/sidecar/caller-connection';
import { daemonResponse, DaemonResponseReason } from '@daisyferry/sidecar/daemon-response';
import type { Respond } from '@daisyferry/sidecar/entry';
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

const OK = { status: 200, reason: 'OK', fields: [], body: Buffer.from('done') };

const IDLE_TIMEOUT_MS = 60_000;
const CLOSE = 'Connection: close\r\n';
/** Beyond the limit for heads. */
const LONG_FIELD = `X: ${'x'.repeat(2_000)}\r\n`;

function encodeGet(path: string, fields = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n${fields}\r\n`;
}

describe('CallerConnection', () => {
  const requests: {
    readonly request: RequestMessage;
    readonly respond: Respond;
  }[] = [];
  let connection: CallerConnection | undefined;
  const surplusStatuses: number[] = [];
  let caller: Socket;
  let received: string;
  let receivedBytes: number;
  let end: string;

  const sockets: Socket[] = [];

  /** How long the callers wait; undefined if requests are answered without being passed on. */
  let callerDeadlineMs: number | undefined;
  let bufferBudget: BufferBudget;

  const server = createServer((socket) => {
    sockets.push(socket);
    const parts = {
      handle: (request: RequestMessage, respond: Respond) => {
        requests.push({ request, respond });
        return callerDeadlineMs === undefined
          ? undefined
          : { callerDeadlineMs, cancel: () => undefined };
      },
      mayRunAhead: () => true,
      limits: () => ({
        maxHeaderBytes: 1_024,
        maxBodyBytes: 1_024,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: IDLE_TIMEOUT_MS,
      }),
      bufferBudget,
      requestIdField: 'X-Id',
      onProblem: () => undefined,
      failures: {
        report: (_origin: string, error: unknown) => {
          throw error;
        },
      },
      onSurplusResponse: (status: number) => surplusStatuses.push(status),
      clock: () => 0,
    };
    connection = new CallerConnection(socket, {
      parts,
      isClosing: false,
      remove: () => undefined,
    });
  });

  /** Paths of the requests that were passed on, in order. */
  function paths(): string[] {
    return requests.map(({ request }) => request.head.target);
  }

  async function answer(index: number, response: Parameters<Respond>[0] = OK): Promise<void> {
    await vi.waitFor(() => expect(requests.length).toBeGreaterThan(index));
    requests[index]?.respond(response);
  }

  beforeEach(async () => {
    callerDeadlineMs = undefined;
    bufferBudget = new BufferBudget(64_000_000);
    requests.length = 0;
    surplusStatuses.length = 0;
    received = '';
    receivedBytes = 0;
    end = '';
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    caller = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('data', (chunk) => {
      receivedBytes += chunk.length;
      if (receivedBytes < 1_024) received += chunk.toString('latin1');
    });
    caller.on('error', (error: NodeJS.ErrnoException) => {
      end = error.code ?? '';
    });
    caller.on('end', () => {
      end = 'complete';
    });
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  it('does not pass on a request that follows a response that closes the connection', async () => {
    caller.write(encodeGet('/first', CLOSE) + encodeGet('/pipelined'));
    await answer(0);
    caller.write(encodeGet('/late'));
    await vi.waitFor(() => expect(end).toBe('complete'));
    await sleep(50);
    expect(paths()).toEqual(['/first']);
  });

  describe('with a response that the caller has not read', () => {
    /** More than the buffers of the system hold. */
    const body = Buffer.alloc(32_000_000);

    async function answerUnread(endsWithConnection: boolean): Promise<void> {
      caller.pause();
      caller.write(encodeGet('/'));
      await answer(0, { ...OK, body, endsWithConnection });
    }

    // Only the end of its connection shows that a response without a length is whole.
    it.each([
      {
        event: 'the caller reads nothing for ten seconds',
        act: async () => {
          await sleep(100);
          connection?.checkTimeouts(0);
          connection?.checkTimeouts(10_001);
        },
      },
      { event: 'the daemon exits', act: () => connection?.close() },
      { event: 'it gives way to others', act: () => connection?.giveWay() },
    ])('resets the connection when $event', async ({ act }) => {
      await answerUnread(true);
      await act();
      await sleep(100);
      // A connection that has ended without a reset still takes a first write.
      const failure = await new Promise<unknown>((resolve) => {
        caller.write('x', resolve);
      });
      expect(failure).toBeInstanceOf(Error);
    });

    // Guards against the first part of one without a length that looks whole after a kill (MIXED).
    it.each([
      { sent: 'not taken by the system', bytes: body.length },
      { sent: 'taken by the system', bytes: 60_000 },
    ])('replaces one without a length behind it, where it is $sent', async ({ bytes }) => {
      caller.pause();
      caller.write(encodeGet('/large') + encodeGet('/unframed'));
      await answer(0, { ...OK, body: body.subarray(0, bytes) });
      await answer(1, { ...OK, body: Buffer.alloc(10_000), endsWithConnection: true });
      let last = '';
      caller.on('data', (chunk) => {
        last = (last + chunk.toString('latin1')).slice(-1_000);
      });
      caller.resume();
      await vi.waitFor(() => expect(end).toBe('complete'), 5_000);
      expect(last).toMatch(/HTTP\/1.1 502[^]*Content-Length: \d+\r\n[^]*outcomeUnknown\n$/);
      expect(bufferBudget.usedBytes).toBe(0);
    });

    it('is sent whole to a caller that reads slowly, however long that takes', async () => {
      await answerUnread(false);
      let pauseAtBytes = 0;
      caller.on('data', () => {
        if (receivedBytes >= pauseAtBytes) caller.pause();
      });
      const readUpTo = (bytes: number) => {
        pauseAtBytes = bytes;
        caller.resume();
        return vi.waitFor(() => expect(receivedBytes).toBeGreaterThanOrEqual(bytes), 5_000);
      };
      for (let part = 1; part <= 5; part += 1) {
        await readUpTo(part * 5_000_000);
        await sleep(20);
        connection?.checkTimeouts(part * 9_000);
      }
      pauseAtBytes = Number.POSITIVE_INFINITY;
      caller.resume();
      await vi.waitFor(() => expect(receivedBytes).toBeGreaterThan(body.length), 5_000);
      expect(end).toBe('');
    });

    // Guards against a slow but steady reader whose progress the system's buffers hide (LOST).
    it('keeps it until the deadline of a caller that seems to read nothing', async () => {
      callerDeadlineMs = 100_000;
      await answerUnread(false);
      await sleep(100);
      for (let nowMs = 0; nowMs < callerDeadlineMs; nowMs += 500) connection?.checkTimeouts(nowMs);
      caller.resume();
      await vi.waitFor(() => expect(receivedBytes).toBeGreaterThan(body.length), 5_000);
      expect(end).toBe('');
    });

    it.each([
      { event: 'its caller waits no longer', deadlineMs: 20_000, heldBytes: 0, untilMs: 20_000 },
      { event: 'the memory is needed', deadlineMs: 100_000, heldBytes: 1, untilMs: 10_001 },
      { event: 'the deadline is very late', deadlineMs: 1e12, heldBytes: 0, untilMs: 300_000 },
    ])('is reset once $event', async ({ deadlineMs, heldBytes, untilMs }) => {
      callerDeadlineMs = deadlineMs;
      await answerUnread(false);
      await sleep(100);
      connection?.checkTimeouts(0);
      // The response itself takes half of the budget.
      bufferBudget.reserve(HeldBody.response).resize(heldBytes);
      connection?.checkTimeouts(untilMs - 1);
      await sleep(50);
      expect(sockets.at(-1)?.destroyed).toBe(false);
      connection?.checkTimeouts(untilMs);
      expect(sockets.at(-1)?.destroyed).toBe(true);
    });

    it('frees its memory at once when the connection gives way', async () => {
      await answerUnread(false);
      expect(connection?.releasableBytes).toBe(body.length);
      connection?.giveWay();
      expect(bufferBudget.usedBytes).toBe(0);
    });

    it('keeps it when idle connections are closed', async () => {
      await answerUnread(false);
      connection?.endIfIdle();
      caller.resume();
      await vi.waitFor(() => expect(receivedBytes).toBeGreaterThan(body.length), 5_000);
      expect(end).toBe('');
    });
  });

  it('writes a response without a length only once the system takes it whole', async () => {
    caller.write(encodeGet('/framed') + encodeGet('/unframed'));
    await vi.waitFor(() => expect(requests.length).toBe(2));
    const socket = sockets.at(-1);
    socket?.cork();
    await answer(0);
    const unsentBytes = socket?.writableLength;
    expect(unsentBytes).toBeGreaterThan(0);
    await answer(1, { ...OK, body: Buffer.from('unframed'), endsWithConnection: true });
    await sleep(50);
    expect(socket?.writableLength).toBe(unsentBytes);
    socket?.uncork();
    await vi.waitFor(() => expect(end).toBe('complete'), 5_000);
    expect(received).toMatch(/done[^]*unframed$/);
    expect(socket?.bytesWritten).toBe(receivedBytes);
  });

  it('writes a response without a length to a caller that has read much and sent nothing ahead', async () => {
    caller.write(encodeGet('/large'));
    await answer(0, { ...OK, body: Buffer.alloc(900_000) });
    await vi.waitFor(() => expect(receivedBytes).toBeGreaterThan(900_000));
    received = '';
    receivedBytes = 0;
    caller.write(encodeGet('/unframed'));
    await answer(1, { ...OK, body: Buffer.from('unframed'), endsWithConnection: true });
    await vi.waitFor(() => expect(end).toBe('complete'));
    expect(received).toMatch(/^HTTP\/1.1 200[^]*unframed$/);
  });

  // Guards against responses that a slow reader loses, as its next request meets a closed socket (LOST).
  describe('whose last response the system has taken and the caller has not read', () => {
    const DEADLINE_MS = 20_000;
    const body = Buffer.alloc(1_000_000);

    const ENDINGS = [
      { end: 'after a response that closes the connection', bytes: encodeGet('/', CLOSE) },
      {
        end: 'after a response without a length',
        bytes: encodeGet('/') + encodeGet('/unframed'),
        last: { ...OK, endsWithConnection: true },
      },
      { end: 'after a malformed request', bytes: `${encodeGet('/')}no request\r\n\r\n` },
      { end: 'after a head that is too long', bytes: encodeGet('/') + encodeGet('/', LONG_FIELD) },
      {
        end: 'idle, as the daemon stops',
        bytes: encodeGet('/'),
        act: () => connection?.endIfIdle(),
      },
      {
        end: 'idle for too long',
        bytes: encodeGet('/'),
        act: () => connection?.checkTimeouts(IDLE_TIMEOUT_MS + 1),
      },
    ];

    async function endUnread({ bytes, last, act }: (typeof ENDINGS)[number]) {
      callerDeadlineMs = act === undefined ? DEADLINE_MS : IDLE_TIMEOUT_MS + DEADLINE_MS;
      caller.pause();
      caller.write(bytes);
      await answer(0, { ...OK, body });
      if (last !== undefined) await answer(1, last);
      await vi.waitFor(() => expect(connection?.hasUnsentBytes).toBe(false));
      act?.();
      // The system's end of what was written.
      await sleep(20);
    }

    it.each(ENDINGS)('delivers it to a caller that sends on, $end', async (ending) => {
      await endUnread(ending);
      const passedOn = paths();
      for (let nowMs = 0; nowMs < DEADLINE_MS; nowMs += 500) connection?.checkTimeouts(nowMs);
      caller.write(encodeGet('/further'));
      await sleep(50);
      caller.write(encodeGet('/further'));
      await sleep(50);
      caller.resume();
      await vi.waitFor(() => expect(end).not.toBe(''), 5_000);
      expect([end, receivedBytes > body.length]).toEqual(['complete', true]);
      expect(paths()).toEqual(passedOn);
      await vi.waitFor(() => expect(sockets.at(-1)?.destroyed).toBe(true));
    });

    it('does not read a caller on that sends without an end, and delivers it', async () => {
      await endUnread(ENDINGS[0] as (typeof ENDINGS)[number]);
      const flood = Buffer.alloc(100_000);
      const sending = setInterval(() => caller.write(flood), 1);
      await vi.waitFor(() => expect(sockets.at(-1)?.isPaused()).toBe(true), 5_000);
      clearInterval(sending);
      const { bytesRead } = sockets.at(-1) as Socket;
      expect(bytesRead).toBeLessThan(1_500_000);
      caller.resume();
      await vi.waitFor(() => expect(receivedBytes).toBeGreaterThan(body.length), 5_000);
      expect(end).toBe('complete');
    });

    it('is closed for good once the caller waits no longer', async () => {
      await endUnread(ENDINGS[0] as (typeof ENDINGS)[number]);
      connection?.checkTimeouts(DEADLINE_MS - 1);
      expect(connection?.isReadAfterEnd(DEADLINE_MS - 1)).toBe(true);
      expect(sockets.at(-1)?.destroyed).toBe(false);
      connection?.checkTimeouts(DEADLINE_MS);
      expect(sockets.at(-1)?.destroyed).toBe(true);
      expect(connection?.isReadAfterEnd(DEADLINE_MS - 1)).toBe(false);
    });

    it('is closed for good after the idle timeout if no deadline is known', async () => {
      caller.pause();
      caller.write('no request\r\n\r\n');
      await vi.waitFor(() => expect(connection?.isReadAfterEnd(0)).toBe(true));
      await sleep(50);
      connection?.checkTimeouts(IDLE_TIMEOUT_MS - 1);
      expect(sockets.at(-1)?.destroyed).toBe(false);
      connection?.checkTimeouts(IDLE_TIMEOUT_MS);
      expect(sockets.at(-1)?.destroyed).toBe(true);
    });
  });

  it('refuses the request that is arriving when it gives way, behind the response ahead', async () => {
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n';
    caller.write(`${encodeGet('/first')}${head}${'x'.repeat(500)}`);
    await vi.waitFor(() => expect(requests.length).toBe(1));
    const { usedBytes } = bufferBudget;
    expect(connection?.releasableBytes).toBeGreaterThan(900);
    connection?.giveWay();
    expect(usedBytes - bufferBudget.usedBytes).toBeGreaterThan(900);
    await answer(0);
    await vi.waitFor(() => expect(end).toBe('complete'));
    expect(received.match(/HTTP\/1.1 \d+|Retry-After/g)).toEqual([
      'HTTP/1.1 200',
      'HTTP/1.1 503',
      'Retry-After',
    ]);
    expect(paths()).toEqual(['/first']);
  });

  it('answers that the outcome is not known where there is no memory for the response', async () => {
    caller.write(encodeGet('/first'));
    bufferBudget.reserve(HeldBody.response).resize(30_000_000);
    bufferBudget.reserve(HeldBody.response).resize(20_000_000);
    await answer(0, { ...OK, body: Buffer.alloc(6_000_000) });
    await vi.waitFor(() => expect(received).toMatch(/^HTTP\/1.1 502/));
  });

  it('repeats the id of a request in responses of its own alone', async () => {
    caller.write(
      encodeGet('/own', 'x-id: 7\r\n') + encodeGet('/no-id') + encodeGet('/', 'X-Id: 8\r\n'),
    );
    await answer(0, daemonResponse(DaemonResponseReason.noRoom, 0));
    await answer(1, daemonResponse(DaemonResponseReason.noRoom, 0));
    await answer(2);
    await vi.waitFor(() => expect(received).toContain('done'));
    expect(received.match(/HTTP\/1.1 \d+|X-Id: \d/g)).toEqual([
      'HTTP/1.1 503',
      'X-Id: 7',
      'HTTP/1.1 503',
      'HTTP/1.1 200',
    ]);
  });

  it('sends one response for each request, in the order of the requests', async () => {
    caller.write(encodeGet('/first') + encodeGet('/second'));
    await answer(0);
    await answer(0, { ...OK, body: Buffer.from('late') });
    await answer(1, { ...OK, body: Buffer.from('next') });
    await vi.waitFor(() => expect(received).toContain('next'));
    await answer(0, { ...OK, body: Buffer.from('late') });
    expect(received.match(/done|late|next/g)).toEqual(['done', 'next']);
    expect(surplusStatuses).toEqual([200, 200]);
  });
});
