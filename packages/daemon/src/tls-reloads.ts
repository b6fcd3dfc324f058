import type { Server } from 'node:tls';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings, TlsSettings } from '@daisyferry/settings/daemon-settings';
import type { FastifyInstance } from 'fastify';
import type { Logger } from 'pino';
import type { PoolBook, PoolTls } from './pool-book';
import { readTls } from './tls-files';
import { TlsReload } from './tls-reload';

export interface TlsReloadParts {
  readonly settings: DaemonSettings;
  readonly callers: FastifyInstance;
  readonly peers: FastifyInstance;
  readonly admin: FastifyInstance;
  /** Connections to other daemons; they use the files of the peers' listener. */
  readonly peerPools: PoolBook;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
}

/** Starts to watch the TLS files of all listeners that have some. */
export function startTlsReloads(parts: TlsReloadParts): readonly TlsReload[] {
  const { settings, scheduler, logger, peerPools } = parts;
  const reloads: TlsReload[] = [];
  const add = (
    name: 'callers' | 'peers' | 'admin',
    onReplaced: (tls: PoolTls) => void = () => undefined,
  ): void => {
    const files: TlsSettings | undefined = settings.listeners[name].tls;
    const present = readTls(files);
    if (present === undefined) return;
    const server = parts[name].server as unknown as Server;
    const reload = new TlsReload(present, {
      read: () => readTls(files) ?? present,
      scheduler,
      apply: (tls) => {
        server.setSecureContext(tls);
        onReplaced(tls);
        logger.info({ listener: name }, 'TLS files replaced');
      },
      onState: (error) => {
        if (error === undefined) logger.info({ listener: name }, 'TLS files can be used again');
        else logger.error({ listener: name, error }, 'TLS files cannot be used; keeping the last');
      },
    });
    reload.start();
    reloads.push(reload);
  };
  add('callers');
  add('peers', (tls) => {
    peerPools.replaceTls(tls).catch((error: unknown) => {
      logger.error({ error: String(error) }, 'connections to peers did not close');
    });
  });
  add('admin');
  return reloads;
}
