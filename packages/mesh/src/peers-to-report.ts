import type { RandomSource } from '@daisyferry/model/scheduler';
import type { AskablePeer } from './peers-to-ask';

/** How a daemon came to know that its configuration is the newest. */
export const FreshnessOccasion = {
  /** It read the store. */
  read: 'read',
  /** It follows the store, and a daemon of another data centre told it. */
  toldFollower: 'toldFollower',
  /** A daemon told it. */
  told: 'told',
} as const;

export type FreshnessOccasionName = (typeof FreshnessOccasion)[keyof typeof FreshnessOccasion];

/** Daemons of the own data centre to which one with news for it reports. */
const MAX_LOCAL_PEERS = 16;
/** Daemons to which each of them passes it on in a larger data centre. */
const RELAYED_PEERS = 4;

function drawSome<Peer>(peers: readonly Peer[], count: number, random: RandomSource): Peer[] {
  if (peers.length <= count) return [...peers];
  const left = [...peers];
  return Array.from({ length: count }, () =>
    left.splice(Math.floor(random() * left.length), 1),
  ).flat();
}

/**
 * Chooses the daemons that hear that this one knows its configuration to be the newest, and then ask
 * how old that knowledge is. A read is reported to all daemons that follow the store and to some of
 * the data centre, each of which passes it on where it is large: reports reach nearly all daemons,
 * however many there are, and each sends a few.
 */
export function peersToReport<Peer extends AskablePeer>(
  peers: readonly Peer[],
  occasion: FreshnessOccasionName,
  random: RandomSource,
): Peer[] {
  const local = peers.filter(({ isLocal }) => isLocal);
  if (occasion === FreshnessOccasion.told) {
    return local.length > MAX_LOCAL_PEERS ? drawSome(local, RELAYED_PEERS, random) : [];
  }
  const some = drawSome(local, MAX_LOCAL_PEERS, random);
  if (occasion === FreshnessOccasion.toldFollower) return some;
  return [...new Set([...some, ...peers.filter(({ isReading }) => isReading)])];
}
