import type { DaemonId, Member } from '@daisyferry/model/member';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import { randomBytes, randomUUID } from 'node:crypto';

const INCARNATION_BYTES = 8;

/** Creates the identity of this daemon process, with a random incarnation. */
export function newIdentity(settings: DaemonSettings): DaemonId {
  return { name: settings.name, incarnation: randomBytes(INCARNATION_BYTES).toString('hex') };
}

/** Creates a random identifier of 32 hexadecimal digits. */
export function newId(): string {
  return randomUUID().replaceAll('-', '');
}

/** Member record published at startup, before ports are bound or a target is announced. */
export function initialMember(settings: DaemonSettings, id: DaemonId): Member {
  const { peers, gossip } = settings.listeners;
  return {
    id,
    service: settings.service,
    dataCentre: settings.dataCentre,
    region: settings.region,
    address: settings.advertisedAddress ?? peers.address,
    peerPort: peers.port,
    gossipPort: gossip.port,
    slots: settings.slots,
    connections: settings.connections,
    targetState: 'absent',
    version: 1,
  };
}
