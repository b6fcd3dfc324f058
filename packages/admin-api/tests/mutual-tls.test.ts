import { readFileSync } from 'node:fs';
import { Code, createClient } from '@connectrpc/connect';
import {
  createConnectTransport,
  createGrpcTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import fastify, { type FastifyInstance } from 'fastify';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { registerAdminApi } from '../src/admin-plugin';
import type { AdminBackend } from '../src/admin-service';
import { AdministrationService } from '../src/gen/daisyferry/admin/v1/administration_pb';

const TLS_DIRECTORY = new URL('tls/', import.meta.url);

function readTlsFile(name: string): Buffer {
  return readFileSync(new URL(name, TLS_DIRECTORY));
}

function tlsIdentity(name: string): {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
} {
  return {
    key: readTlsFile(`${name}.key.pem`),
    cert: readTlsFile(`${name}.pem`),
    ca: readTlsFile('authority.pem'),
  };
}

describe('administration API over mutual TLS', () => {
  const authors: string[] = [];
  let app: FastifyInstance;
  let baseUrl: string;

  /** Implements only the methods that the tests call. */
  const backend = {
    policies: {
      propose: ({
        author,
        operationId,
      }: {
        readonly author: string;
        readonly operationId: string;
      }) => {
        authors.push(author);
        return Promise.resolve({ kind: 'accepted', operationId, service: 'teller', revision: 1 });
      },
    },
    fleet: { members: () => [] },
  } as unknown as AdminBackend;

  beforeAll(async () => {
    const server = fastify({
      http2: true,
      https: {
        ...tlsIdentity('server'),
        allowHTTP1: true,
        requestCert: true,
        rejectUnauthorized: true,
      },
    });
    app = server as unknown as FastifyInstance;
    await registerAdminApi(app, backend, { tls: true, operators: ['ana'] });
    baseUrl = await app.listen({ host: '127.0.0.1', port: 0 });
  });

  afterAll(() => app.close());

  const change = { document: '{}', operationId: 'a', author: 'mallory' };

  it('uses the name in the certificate instead of the author in the request, over HTTP/JSON', async () => {
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '1.1',
      nodeOptions: { ...tlsIdentity('ana'), agent: false },
    });
    const client = createClient(AdministrationService, transport);
    expect(await client.applyPolicy(change)).toMatchObject({ outcome: 'accepted' });
    expect(authors).toEqual(['ana']);
  });

  it('gives an unlisted certificate read access only, over gRPC', async () => {
    const sessionManager = new Http2SessionManager(baseUrl, {}, tlsIdentity('ben'));
    const client = createClient(
      AdministrationService,
      createGrpcTransport({ baseUrl, sessionManager }),
    );
    expect(await client.listMembers({})).toMatchObject({ members: [] });
    authors.length = 0;
    await expect(client.applyPolicy(change)).rejects.toMatchObject({ code: Code.PermissionDenied });
    await expect(client.drain({})).rejects.toMatchObject({ code: Code.PermissionDenied });
    expect(authors).toEqual([]);
    sessionManager.abort();
  });

  it('rejects clients without a certificate', async () => {
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '1.1',
      nodeOptions: { ca: readTlsFile('authority.pem'), agent: false },
    });
    const client = createClient(AdministrationService, transport);
    await expect(client.listMembers({})).rejects.toThrow();
  });
});
