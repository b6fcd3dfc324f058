import { ControlListener } from '@daisyferry/sidecar/control-listener';
import { createConnection, createServer, type AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';

const failures: string[] = [];
let listener: ControlListener;
let port: number;

beforeEach(async () => {
  failures.length = 0;
  const probe = createServer().listen(0, '127.0.0.1');
  port = await new Promise((resolve) => {
    probe.on('listening', () => resolve((probe.address() as AddressInfo).port));
  });
  await new Promise((resolve) => {
    probe.close(resolve);
  });
  listener = new ControlListener(
    ({ path }) => {
      if (path === '/fails') throw new TypeError('unexpected');
      return { status: 200, text: '{}' };
    },
    (error, origin) => failures.push(`${origin}: ${String(error)}`),
  );
  await listener.listen({ ip: '127.0.0.1', port });
});

afterEach(() => listener.close());

async function fetchStatus(path: string): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`);
  return response.status;
}

it('answers 500 and goes on when a handler throws', async () => {
  expect([await fetchStatus('/fails'), await fetchStatus('/')]).toEqual([500, 200]);
  expect(failures).toEqual(['GET /fails: TypeError: unexpected']);
});

it('goes on after callers that send no HTTP, break off, or send too much', async () => {
  const texts = [
    '\r\n\r\n\0',
    'PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\n12',
    'GET /fails HTTP/1.1',
  ];
  texts.push(`PUT / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n${'x'.repeat(1_000_000)}`);
  for (const text of texts) {
    const socket = createConnection(port, '127.0.0.1').on('error', () => undefined);
    await new Promise((resolve) => {
      socket.on('close', resolve).on('connect', () => {
        socket.write(text);
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
    });
  }
  expect(await fetchStatus('/')).toBe(200);
});

it('goes on listening when connections cannot be accepted', async () => {
  const { server } = listener as unknown as { server: { emit(name: string, error: Error): void } };
  for (let count = 0; count < 3; count += 1) server.emit('error', new Error('accept EMFILE'));
  expect(failures).toHaveLength(3);
  expect(await fetchStatus('/')).toBe(200);
});
