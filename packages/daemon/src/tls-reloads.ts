import type { Server } from 'node:tls';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings, TlsSettings } from '@daisyferry/settings/daemon-settings';
import type { FastifyInstance } from 'fastify';
import type { Logger } from 'pino';
import type { ConnectionPools, TlsKeyMaterial } from './connection-pools';
import { readTls } from './tls-files';
import { TlsReload } from './tls-reload';

export interface TlsReloadParts {
  readonly settings: DaemonSettings;
  readonly callers: FastifyInstance;
  readonly peers: FastifyInstance;
  readonly admin: FastifyInstance;
  /** Connections to other daemons; they use the files of the peers' listener. */
  readonly peerPools: ConnectionPools;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
}

/** Starts the reload of TLS files for all listeners that use TLS. */
export function startTlsReloads(parts: TlsReloadParts): readonly TlsReload[] {
  const { settings, scheduler, logger, peerPools } = parts;
  const reloads: TlsReload[] = [];
  const addReload = (
    name: 'callers' | 'peers' | 'admin',
    onReplaced: (tls: TlsKeyMaterial) => void = () => undefined,
  ): void => {
    const files: TlsSettings | undefined = settings.listeners[name].tls;
    const current = readTls(files);
    if (current === undefined) return;
    const server = parts[name].server as unknown as Server;
    const reload = new TlsReload(current, {
      read: () => readTls(files) ?? current,
      scheduler,
      apply: (tls) => {
        server.setSecureContext(tls);
        onReplaced(tls);
        logger.info({ listener: name }, 'TLS files replaced');
      },
      onState: (error) => {
        if (error === undefined) logger.info({ listener: name }, 'TLS files are usable again');
        else
          logger.error(
            { listener: name, error },
            'TLS files are unusable; keeping the previous ones',
          );
      },
    });
    reload.start();
    reloads.push(reload);
  };
  addReload('callers');
  addReload('peers', (tls) => {
    peerPools.replaceTls(tls).catch((error: unknown) => {
      logger.error({ error: String(error) }, 'closing connections to peers failed');
    });
  });
  addReload('admin');
  return reloads;
}
