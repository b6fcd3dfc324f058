import type { TlsSettings } from '@daisyferry/settings/daemon-settings';
import { readFileSync } from 'node:fs';
import type { TlsKeyMaterial } from './connection-pools';

/** Reads key, certificate and certificate authority; throws if a file cannot be read. */
export function readTls(settings: TlsSettings | undefined): TlsKeyMaterial | undefined {
  if (settings === undefined) return undefined;
  return {
    key: readFileSync(settings.keyFile),
    cert: readFileSync(settings.certificateFile),
    ca: readFileSync(settings.authorityFile),
  };
}
