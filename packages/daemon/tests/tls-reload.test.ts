import { readFileSync } from 'node:fs';
import { connect, createServer, type TLSSocket } from 'node:tls';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { TlsKeyMaterial } from '../src/connection-pools';
import { TlsReload } from '../src/tls-reload';

const TLS_FOLDER = new URL('../../admin-api/tests/tls/', import.meta.url);
const CHECK_INTERVAL_MS = 10_000;

function readKeyMaterial(name: string): TlsKeyMaterial {
  const file = (entry: string) => readFileSync(new URL(entry, TLS_FOLDER));
  return { key: file(`${name}.key.pem`), cert: file(`${name}.pem`), ca: file('authority.pem') };
}

const serverMaterial = readKeyMaterial('server');
const otherMaterial = readKeyMaterial('ana');

describe('TlsReload', () => {
  it.each([
    { what: 'the same files', next: () => serverMaterial, applied: 0, states: [] },
    { what: 'other files', next: () => otherMaterial, applied: 1, states: [] },
    {
      what: 'a key that does not match the certificate',
      next: () => ({ ...serverMaterial, key: otherMaterial.key }),
      applied: 0,
      states: ['unusable'],
    },
    {
      what: 'files that cannot be read',
      next: (): TlsKeyMaterial => {
        throw new Error('ENOENT');
      },
      applied: 0,
      states: ['unusable'],
    },
  ])(
    'applies $applied changes for $what over several checks and the valid files read later',
    async (given) => {
      const scheduler = new VirtualScheduler();
      const states: string[] = [];
      const applied: TlsKeyMaterial[] = [];
      let read = given.next;
      const reload = new TlsReload(serverMaterial, {
        read: () => read(),
        scheduler,
        apply: (tls) => applied.push(tls),
        onState: (error) => states.push(error === undefined ? 'usable' : 'unusable'),
      });
      reload.start();
      await scheduler.advance(5 * CHECK_INTERVAL_MS);
      expect(applied).toHaveLength(given.applied);
      expect(states).toEqual(given.states);
      read = () => otherMaterial;
      await scheduler.advance(2 * CHECK_INTERVAL_MS);
      expect(applied).toEqual([otherMaterial]);
      reload.stop();
      expect(scheduler.pendingTimers).toBe(0);
    },
  );

  it('uses the new certificate for new connections and keeps existing ones', async () => {
    const listener = createServer(serverMaterial, (socket) => {
      // A client that ends without reading its session tickets resets the connection.
      socket.on('error', () => socket.destroy());
      socket.pipe(socket);
    });
    await new Promise<void>((resolve) => {
      listener.listen(0, '127.0.0.1', resolve);
    });
    const { port } = listener.address() as AddressInfo;
    const open = (): Promise<TLSSocket> =>
      new Promise((resolve, reject) => {
        const socket = connect({ host: '127.0.0.1', port, ca: serverMaterial.ca }, () =>
          resolve(socket),
        );
        socket.once('error', reject);
      });
    const before = await open();
    const scheduler = new VirtualScheduler();
    const reload = new TlsReload(serverMaterial, {
      read: () => otherMaterial,
      scheduler,
      apply: (tls) => listener.setSecureContext(tls),
      onState: () => undefined,
    });
    reload.start();
    await scheduler.advance(CHECK_INTERVAL_MS);
    const after = await open();
    expect(before.getPeerCertificate().subject.CN).toBe('server');
    expect(after.getPeerCertificate().subject.CN).toBe('ana');
    const echo = new Promise((resolve) => {
      before.once('data', (data: Buffer) => resolve(data.toString()));
    });
    before.write('still here');
    expect(await echo).toBe('still here');
    before.destroy();
    after.destroy();
    listener.close();
  });
});
