import { seededRandom } from '@daisyferry/bench/random';
import { peersToAsk } from '@daisyferry/mesh/peers-to-ask';
import { describe, expect, it } from 'vitest';

/** Age up to which a request with a key is served, and the time between two rounds of questions. */
const SERVED_UP_TO_MS = 4_800;
const ROUND_MS = 600;
/** Half of the bound on withdrawals. */
const BOUND_MS = 2_500;
const ROUNDS = 60;
const REMOTE_DAEMONS = 100;
/** A question and its answer, and what a daemon may receive and send for them. */
const BYTES_OF_EXCHANGE = 44;
const MAX_BYTES_PER_S = 1_000;

interface Daemon {
  readonly name: number;
  readonly isLocal: boolean;
  readonly isReading: boolean;
  ageMs: number;
}

function daemon(name: number, isReading: boolean, isLocal = true): Daemon {
  return { name, isReading, isLocal, ageMs: isReading ? 0 : Number.POSITIVE_INFINITY };
}

function toAsking(ageMs: number) {
  return { ageMs, boundMs: BOUND_MS, isFollowing: false };
}

/**
 * Rounds of questions of one data centre whose only follower reads the store each second, or which
 * is cut from the store while a hundred daemons of others are fresh.
 */
function askInRounds(size: number, isFollowerCut: boolean) {
  const random = seededRandom(7);
  const daemons = Array.from({ length: size }, (_, name) =>
    daemon(name, name === 0 && !isFollowerCut),
  );
  const remote = Array.from({ length: isFollowerCut ? REMOTE_DAEMONS : 0 }, (_, index) => {
    const isReading = index % 10 === 0;
    return {
      ...daemon(size + index, isReading, false),
      ageMs: isReading ? 1_000 : random() * 2_800,
    };
  });
  let maxAgeMs = 0;
  let toFollower = 0;
  let questions = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const agesMs = [...daemons, ...remote].map(({ ageMs }) => ageMs);
    for (const asking of daemons.filter(({ isReading }) => !isReading)) {
      const others = [...daemons, ...remote].filter((other) => other !== asking);
      for (const asked of peersToAsk(others, toAsking(asking.ageMs), random)) {
        questions += 1;
        if (asked.isReading && asked.isLocal) toFollower += 1;
        asking.ageMs = Math.min(asking.ageMs, agesMs[asked.name] ?? Infinity);
      }
    }
    // The daemons reach each other within the first rounds.
    const ages = daemons.map(({ ageMs }) => ageMs + ROUND_MS);
    if (round >= 10) maxAgeMs = Math.max(maxAgeMs, ...ages);
    for (const known of daemons) known.ageMs = known.isReading ? 1_000 : known.ageMs + ROUND_MS;
  }
  return {
    maxAgeMs,
    toFollowerPerRound: toFollower / ROUNDS,
    questionsPerRound: questions / ROUNDS / size,
  };
}

describe('peersToAsk', () => {
  it.each([20, 30, 89, 300, 900])(
    'keeps %i daemons of a data centre fresh by one follower',
    (size) => {
      const { maxAgeMs, toFollowerPerRound, questionsPerRound } = askInRounds(size, false);
      expect(maxAgeMs).toBeLessThan(SERVED_UP_TO_MS);
      const bytesPerS = (toFollowerPerRound * BYTES_OF_EXCHANGE * 1_000) / ROUND_MS;
      expect(bytesPerS).toBeLessThan(MAX_BYTES_PER_S);
      expect(questionsPerRound).toBeLessThan(4);
    },
  );

  it.each([20, 89, 900])('keeps %i daemons fresh whose follower is cut from the store', (size) => {
    expect(askInRounds(size, true).maxAgeMs).toBeLessThan(SERVED_UP_TO_MS);
  });

  it('asks no other data centre while the own one is fresh, and others if it is not', () => {
    const peers = [daemon(0, true), daemon(1, false), daemon(2, true, false)];
    for (const value of [0, 0.5, 0.99]) {
      const isRemoteAsked = (ageMs: number) =>
        peersToAsk(peers, toAsking(ageMs), () => value).some(({ isLocal }) => !isLocal);
      expect(isRemoteAsked(1_500)).toBe(false);
      expect(isRemoteAsked(3_000)).toBe(true);
    }
  });

  it('asks nobody where nobody is connected', () => {
    expect(peersToAsk([], toAsking(Number.POSITIVE_INFINITY), () => 0.5)).toEqual([]);
  });
});
