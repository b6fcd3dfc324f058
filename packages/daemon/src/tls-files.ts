import type { TlsSettings } from '@daisyferry/settings/daemon-settings';
import { readFileSync } from 'node:fs';
import type { PoolTls } from './pool-book';

/** Reads key, certificate and authority; fails when one of the files cannot be read. */
export function readTls(settings: TlsSettings | undefined): PoolTls | undefined {
  if (settings === undefined) return undefined;
  return {
    key: readFileSync(settings.keyFile),
    cert: readFileSync(settings.certificateFile),
    ca: readFileSync(settings.authorityFile),
  };
}
