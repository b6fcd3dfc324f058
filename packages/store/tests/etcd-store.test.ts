import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';
import { encodeKeyRange } from '../src/etcd-codec';
import { EtcdStore } from '../src/etcd-store';
import type { WatchEvent } from '../src/key-value-store';
import { decodeKeyRange } from '../src/stand-in/stand-in-codec';

const TIMEOUT_MS = 5_000;
const PUT = { kind: 'put', key: 'k', value: 'v' } as const;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const servers: Server[] = [];
const stores: EtcdStore[] = [];

/** Starts a server that passes each request to the handler and counts the requests. */
async function startServer(handler: Handler): Promise<{ url: string; requests: () => number }> {
  let count = 0;
  const server = createServer((request, response) => {
    count += 1;
    request.resume();
    request.on('end', () => handler(request, response));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, requests: () => count };
}

/** Returns the URL of a port on which nothing listens. */
async function closedUrl(): Promise<string> {
  const { url } = await startServer(() => undefined);
  const server = servers.pop();
  await new Promise((resolve) => {
    server?.close(resolve);
  });
  return url;
}

function openStore(...urls: readonly string[]): EtcdStore {
  const store = new EtcdStore(urls);
  stores.push(store);
  return store;
}

function respondWith(statusCode: number, text: string): Handler {
  return (_request, response) => response.writeHead(statusCode).end(text);
}

afterEach(async () => {
  await Promise.all(stores.splice(0).map((store) => store.close()));
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe('etcd store', () => {
  it.each([
    { what: 'status 400', handler: respondWith(400, '{}'), write: 'refused' },
    { what: 'status 429', handler: respondWith(429, '{}'), write: 'refused' },
    { what: 'status 500', handler: respondWith(500, '{}'), write: 'undecided' },
    { what: 'status 503', handler: respondWith(503, '{}'), write: 'undecided' },
    { what: 'invalid JSON', handler: respondWith(200, '<html>'), write: 'undecided' },
    { what: 'JSON of an unexpected shape', handler: respondWith(200, '[]'), write: 'undecided' },
    {
      what: 'a connection closed without a response',
      handler: (request: IncomingMessage) => request.socket.destroy(),
      write: 'undecided',
    },
    {
      what: 'a truncated response',
      handler: (_request: IncomingMessage, response: ServerResponse) => {
        response.writeHead(200, { 'content-length': '100' }).write('{"header"');
        response.socket?.destroy();
      },
      write: 'undecided',
    },
  ])(
    'reports $what as $write for a write and as refused for a read',
    async ({ handler, write }) => {
      const { url, requests } = await startServer(handler);
      const store = openStore(url);
      expect(await store.transact([], [PUT], TIMEOUT_MS)).toMatchObject({ ok: false, kind: write });
      // Fails if the HTTP client repeats the request on its own.
      expect(requests()).toBe(1);
      expect(await store.range({ key: 'k' }, TIMEOUT_MS)).toMatchObject({ kind: 'refused' });
      expect(requests()).toBe(2);
    },
  );

  it('reports a write as refused if no endpoint is reachable or configured', async () => {
    const unreachable = openStore(await closedUrl(), await closedUrl());
    expect(await unreachable.transact([], [PUT], TIMEOUT_MS)).toMatchObject({ kind: 'refused' });
    expect(await openStore().transact([], [PUT], TIMEOUT_MS)).toMatchObject({ kind: 'refused' });
  });

  it('tries the next endpoint only if no connection could be established', async () => {
    const good = await startServer(
      respondWith(200, '{"header":{"revision":"7"},"succeeded":true}'),
    );
    const store = openStore(await closedUrl(), good.url);
    const written = { ok: true, value: { succeeded: true, storeRevision: 7 } };
    expect(await store.transact([], [PUT], TIMEOUT_MS)).toEqual(written);
    const failing = await startServer((request) => request.socket.destroy());
    const other = openStore(failing.url, good.url);
    expect(await other.transact([], [PUT], TIMEOUT_MS)).toMatchObject({ kind: 'undecided' });
    expect(good.requests()).toBe(1);
    expect(await other.transact([], [PUT], TIMEOUT_MS)).toEqual(written);
  });

  it.each([
    { what: 'split and joined lines', chunks: ['{"result":{"crea', 'ted":true}}\n\n{"result":'] },
    { what: 'lines at once', chunks: ['{"result":{"created":true}}\n{"result":'] },
  ])('reads a watch stream with $what until it ends', async ({ chunks }) => {
    const kv = { key: 'aw==', value: 'dg==', mod_revision: '3' };
    const event = `{"header":{"revision":"3"},"events":[{"kv":${JSON.stringify(kv)}}]}}\n`;
    const { url } = await startServer((_request, response) => {
      response.writeHead(200);
      for (const chunk of chunks) response.write(chunk);
      response.end(event);
    });
    const events: WatchEvent[] = [];
    const reason = await new Promise((resolve) => {
      openStore(url).watch(
        { key: 'k', fromRevision: 1 },
        { onEvents: (more) => events.push(...more), onEnd: resolve },
      );
    });
    expect(reason).toBe('lost');
    expect(events).toEqual([{ kind: 'put', key: 'k', value: 'v', modRevision: 3 }]);
  });

  it.each([
    { what: 'invalid JSON', text: 'oops\n', reason: 'lost' },
    { what: 'JSON of an unexpected shape', text: '{"result":{"events":7}}\n', reason: 'lost' },
    { what: 'status 500', text: undefined, reason: 'lost' },
    {
      what: 'compacted changes',
      text: '{"result":{"canceled":true,"compact_revision":"9"}}\n',
      reason: 'compacted',
    },
  ])('ends a watch once on $what', async ({ text, reason }) => {
    const { url } = await startServer((_request, response) => {
      if (text === undefined) response.writeHead(500).end();
      else response.writeHead(200).write(text);
    });
    const ends: string[] = [];
    await new Promise<void>((resolve) => {
      openStore(url).watch(
        { key: 'k', fromRevision: 1 },
        {
          onEvents: () => undefined,
          onEnd: (endReason) => {
            ends.push(endReason);
            resolve();
          },
        },
      );
    });
    expect(ends).toEqual([reason]);
  });

  it('round-trips any key, prefix and page through the protocol', () => {
    const text = fc.string({ unit: 'grapheme', minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(text, text, fc.boolean(), fc.boolean(), (key, rest, prefix, paged) => {
        const query = prefix ? { key, prefix, ...(paged ? { after: key + rest } : {}) } : { key };
        expect(decodeKeyRange(encodeKeyRange(query))).toEqual(query);
      }),
      { seed: 5, numRuns: 500 },
    );
  });
});
