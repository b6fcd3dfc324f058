/** Separates the id of a request from the part that a nested call of its run adds. */
const ID_SEPARATOR = '.';

/**
 * Id of the request that a call with this id may be nested in: ids of nested calls may extend the id
 * of the request that makes them. Undefined for an id of one part. Only a request that is running at
 * the local target under that id makes it certain.
 */
export function parentIdOf(requestId: string): string | undefined {
  const end = requestId.lastIndexOf(ID_SEPARATOR);
  return end > 0 ? requestId.slice(0, end) : undefined;
}

/** What a nested call takes over from the run that makes it. */
export interface NestedOrigin {
  /** Route of the run. */
  readonly route: string;
  /** Priority of the run: that of its root, or a little more urgent, 0 is the most urgent. */
  readonly priorityOfRun: number;
  /** Probability that the run is a repeat, 0 to 1. */
  readonly repeatShare: number;
  /** Counts a call that the run makes. */
  recordNestedCall(route: string, service: string): void;
}

/** By how much a nested call is more urgent than the run that makes it: begun trees go first. */
const URGENCY_OF_LEVEL = 0.01;

/** Priority of a nested call: that of its root, before requests of this class that begin. */
export function nestedPriority({ priorityOfRun }: Pick<NestedOrigin, 'priorityOfRun'>): number {
  return priorityOfRun - URGENCY_OF_LEVEL;
}
