import { readFileSync } from 'node:fs';
import { connect, type ClientHttp2Session } from 'node:http2';
import { Agent, request } from 'node:https';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createDualListener } from '../src/dual-listener';

const TLS_FOLDER = new URL('../../admin-api/tests/tls/', import.meta.url);

function readKeyMaterial(name: string) {
  const file = (entry: string) => readFileSync(new URL(entry, TLS_FOLDER));
  return { key: file(`${name}.key.pem`), cert: file(`${name}.pem`), ca: file('authority.pem') };
}

function getByHttp1(port: number, agent: Agent): Promise<string> {
  return new Promise((resolve, reject) => {
    request({ host: '127.0.0.1', port, agent }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.httpVersion));
    })
      .on('error', reject)
      .end();
  });
}

function getByHttp2(session: ClientHttp2Session): Promise<number> {
  return new Promise((resolve, reject) => {
    const stream = session.request({ ':path': '/' });
    stream.on('response', (headers) => resolve(Number(headers[':status'])));
    stream.on('error', reject);
    stream.resume();
  });
}

describe('listener for HTTP/2 and HTTP/1.1', () => {
  it('serves both on one port and closes while connections are open', async () => {
    const options = {
      maxHeaderBytes: 16_384,
      idleTimeoutMs: 60_000,
      maxConnections: 10,
      tls: undefined,
      requireClientCertificate: true,
    };
    const app = createDualListener(options, readKeyMaterial('server'));
    app.get('/', () => ({}));
    await app.listen({ host: '127.0.0.1', port: 0 });
    const { port } = app.server.address() as AddressInfo;
    const agent = new Agent({ ...readKeyMaterial('ana'), keepAlive: true });
    const session = connect(`https://127.0.0.1:${port}`, readKeyMaterial('ana'));
    expect(await getByHttp1(port, agent)).toBe('1.1');
    expect(await getByHttp2(session)).toBe(200);
    const ended = new Promise((resolve) => {
      session.once('close', () => resolve('ended'));
    });
    await app.close();
    expect(await ended).toBe('ended');
    agent.destroy();
  });
});
