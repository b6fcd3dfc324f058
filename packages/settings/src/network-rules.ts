import type { Problem } from './check-document';
import type { DaemonSettings } from './daemon-settings';

const SECURE_LISTENERS = ['callers', 'peers', 'admin'] as const;

/** True for addresses that only processes of the same instance can reach. */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address === '::1';
}

/** Listeners that other instances can reach require TLS or an explicitly trusted network. */
export function networkProblems(settings: DaemonSettings): readonly Problem[] {
  const problems: Problem[] = [];
  for (const name of SECURE_LISTENERS) {
    const { address, tls, trustedNetwork } = settings.listeners[name];
    if (isLoopback(address) || tls !== undefined || trustedNetwork) continue;
    problems.push({
      path: `listeners.${name}`,
      value: JSON.stringify(address),
      expected: 'tls, or trustedNetwork true, or a loopback address',
    });
  }
  const { gossip, local } = settings.listeners;
  if (!isLoopback(local.address)) {
    problems.push({
      path: 'listeners.local.address',
      value: JSON.stringify(local.address),
      expected: 'a loopback address: only the target beside the daemon may use it',
    });
  }
  const isGossipExposed = !isLoopback(gossip.address) && !settings.listeners.peers.trustedNetwork;
  if (isGossipExposed && settings.clusterKeyFile === undefined) {
    problems.push({
      path: 'clusterKeyFile',
      value: 'nothing',
      expected: 'a key file, since the gossip listener is open to other instances',
    });
  }
  return problems;
}
