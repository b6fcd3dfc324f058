import { freePorts, loopbackNetwork } from './case.mjs';
import { Caller } from './caller.mjs';
import { Daemon } from './daemon.mjs';
import { Store } from './store.mjs';
import { Upstream } from './upstream.mjs';

const PORT_NAMES = ['app', 'inbound', 'outbound', 'ready', 'control', 'internal'];
const READY_MS = 15_000;
const ZONES = ['white-mountains', 'green-ridge'];
export const HOST = 'hulo84.example';
export const READ_PATH = '/leny950/';
export const WRITE_PATH = '/puka111/';
export const SERVICE = 'huvo11a';

/** A configuration with one route of requests that may be repeated and one of others. */
export function configuration(version = '0000000c') {
  const rule = (name, kind, prefix, maxAttempts) => ({
    name,
    kind,
    targetLatency: '1500ms',
    priority: kind === 'unsafe' ? 0 : 2,
    match: { prefix },
    action: { service: SERVICE, timeout: '5s', maxAttempts },
  });
  return {
    version,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeout: '3000ms',
      idleTimeout: '15s',
    },
    listeners: [
      {
        host: HOST,
        rules: [rule('r-read', 'safe', READ_PATH, 3), rule('r-write', 'unsafe', WRITE_PATH, 2)],
      },
    ],
    clusters: [{ name: SERVICE, healthPath: '/health', maxConnections: 874 }],
  };
}

/** A small deployment: the store, and machines with a daemon, an upstream and a client each. */
export async function startFleet(
  { record, temporary, ends },
  size,
  upstreamOptions = {},
  zones = ZONES,
) {
  const network = loopbackNetwork();
  const store = new Store(record);
  await store.listen(`${network}.250`);
  ends.push(() => store.close());
  store.put('op/config', JSON.stringify(configuration()));
  const machines = [];
  for (let index = 1; index <= size; index += 1) {
    const ip = `${network}.${index}`;
    const ports = await freePorts(ip, PORT_NAMES);
    const zone = zones[(index - 1) % zones.length];
    const name = `sidecar-${zone}-${index}`;
    const storeAddress = store.address;
    const options = { name, ip, ports, zone, service: SERVICE, storeAddress };
    const daemon = new Daemon(options, record, temporary);
    ends.push(() => daemon.kill());
    daemon.start();
    const upstream = new Upstream(
      { id: `i-${index}f3a91c`, service: SERVICE, zone, daemon, ...upstreamOptions },
      record,
    );
    ends.push(() => upstream.close());
    await upstream.start();
    const caller = new Caller({ daemon, host: HOST, deadlineMs: 6_000 }, record);
    ends.push(() => caller.stop());
    machines.push({ daemon, upstream, caller });
  }
  await Promise.all(machines.map(({ daemon }) => daemon.untilReady(READY_MS)));
  await Promise.all(machines.map(({ upstream }) => upstream.beat()));
  return { store, machines };
}
