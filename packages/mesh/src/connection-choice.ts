/** What a connection is used for at the moment, as far as it matters for its end. */
export interface ConnectionUse {
  /** True while a request is in progress, which closing the connection would cut off. */
  readonly isBusy: boolean;
  /** True while a request has arrived in part, or a response is not read. */
  readonly isHolding: boolean;
  /** True once a request on it was answered. */
  readonly hasServed: boolean;
  /** Since when it has been idle, or has held what it holds. */
  readonly sinceMs: number;
}

/** Time for which a request may arrive, or a response be read, before its connection gives way. */
const MIN_HOLDING_MS = 1_000;

/** The order in which connections give way: idle ones first, of these the ones without use so far. */
function rankOf({ isHolding, hasServed }: ConnectionUse): number {
  if (isHolding) return 2;
  return hasServed ? 1 : 0;
}

/**
 * Returns the connection that gives way to a new one: the one without use for the longest; undefined
 * if all are in use. Load that it answers: more connections than a process has descriptors for.
 */
export function connectionToClose<Connection>(
  connections: Iterable<Connection>,
  useOf: (connection: Connection) => ConnectionUse,
  nowMs: number,
): Connection | undefined {
  let chosen: Connection | undefined;
  let chosenRank = Number.POSITIVE_INFINITY;
  let chosenSinceMs = 0;
  for (const connection of connections) {
    const use = useOf(connection);
    const { isBusy, isHolding, sinceMs } = use;
    if (isBusy || (isHolding && nowMs - sinceMs < MIN_HOLDING_MS)) continue;
    const rank = rankOf(use);
    if (rank < chosenRank || (rank === chosenRank && sinceMs < chosenSinceMs)) {
      chosen = connection;
      chosenRank = rank;
      chosenSinceMs = sinceMs;
    }
  }
  return chosen;
}
