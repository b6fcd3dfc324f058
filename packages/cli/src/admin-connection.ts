import { readFileSync } from 'node:fs';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { AdministrationService } from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import type { AdminClient, ConnectionOptions } from './environment';
import { CliInputError } from './cli-input-error';

function readPem(option: string, file: string | undefined): Readonly<Record<string, Buffer>> {
  if (file === undefined) return {};
  try {
    return { [option]: readFileSync(file) };
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new CliInputError(`--${option}: ${detail}`);
  }
}

/** Connects to a daemon's administration listener over Connect's HTTP/JSON. */
export function connectAdmin({ admin, timeoutMs, ca, cert, key }: ConnectionOptions): AdminClient {
  if (!URL.canParse(admin)) throw new CliInputError(`--admin: found '${admin}': expected a URL`);
  const nodeOptions = { ...readPem('ca', ca), ...readPem('cert', cert), ...readPem('key', key) };
  const transport = createConnectTransport({
    baseUrl: admin,
    httpVersion: '1.1',
    defaultTimeoutMs: timeoutMs,
    nodeOptions,
  });
  return createClient(AdministrationService, transport);
}
