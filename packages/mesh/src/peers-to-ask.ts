import type { RandomSource } from '@daisyferry/model/scheduler';
import { isOldAge } from './freshness-schedule';

/** A connected daemon that may be asked how old its knowledge of the configuration is. */
export interface AskablePeer {
  readonly isLocal: boolean;
  /** True while the peer follows the store. */
  readonly isReading: boolean;
}

export interface AskingDaemon {
  readonly ageMs: number;
  /** Time within which a change has to be in force. */
  readonly boundMs: number;
  /** True while the asking daemon follows the store. */
  readonly isFollowing: boolean;
}

/**
 * Daemons that ask one that follows the store in each round, on average at most: their questions and
 * its answers have less than 1 KB a second.
 */
const MAX_ASKING_DAEMONS = 12;
/** Other daemons that are asked where none that follows the store is. */
const MAX_OTHERS = 3;

function draw<Peer>(peers: readonly Peer[], random: RandomSource): Peer[] {
  const peer = peers[Math.floor(random() * peers.length)];
  return peer === undefined ? [] : [peer];
}

/**
 * Chooses the peers to ask, five at most: one that follows the store for the own data centre, as it
 * is the freshest, or three others of the data centre. Where the knowledge is old, so that the
 * followers may be cut from the store, daemons of other data centres are asked too. In a large data
 * centre, most daemons learn from those that asked the follower. A daemon that follows the store
 * itself asks one of another data centre that does.
 */
export function peersToAsk<Peer extends AskablePeer>(
  peers: readonly Peer[],
  { ageMs, boundMs, isFollowing }: AskingDaemon,
  random: RandomSource,
): Peer[] {
  const local = peers.filter(({ isLocal }) => isLocal);
  const followers = local.filter(({ isReading }) => isReading);
  const others = local.filter(({ isReading }) => !isReading);
  const asksFollowers = random() * local.length < MAX_ASKING_DAEMONS;
  const isOld = isOldAge(ageMs, boundMs);
  const chosen = asksFollowers ? draw(followers, random) : [];
  const otherCount = chosen.length === 0 ? MAX_OTHERS : Number(isOld);
  for (let count = 0; count < otherCount; count += 1) chosen.push(...draw(others, random));
  if (isOld || isFollowing) {
    const remote = peers.filter(({ isLocal }) => !isLocal);
    if (isOld) chosen.push(...draw(remote, random));
    if (asksFollowers || isFollowing) {
      const remoteFollowers = remote.filter(({ isReading }) => isReading);
      chosen.push(...draw(remoteFollowers, random));
    }
  }
  return [...new Set(chosen)];
}
