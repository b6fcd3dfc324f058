import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';

/** Content of the first frame that each side of a connection sends. */
export interface Hello {
  readonly record: DaemonRecord;
  /** Unique for the sender's process; undefined from an earlier build. */
  readonly processKey: string | undefined;
  /** Version of the sender's configuration; 0 for none. */
  readonly configurationVersion: number;
  /** True if the sender requests all daemon records of the receiver. */
  readonly wantsView: boolean;
  /** True if the sender follows the store. */
  readonly isReading: boolean;
  /** True if the sender accepts bodies in parts; earlier builds expect each in one frame. */
  readonly acceptsBodyParts: boolean;
  /** True if the sender answers pings on connections that it has opened. */
  readonly answersPings: boolean;
}

/**
 * True if both were sent by one process. Incarnations tell processes apart only as well as the clocks
 * they were numbered by, and a process that meets an earlier record of its daemon changes its own.
 */
export function isSameProcess(first: Hello, second: Hello): boolean {
  if (first.record.daemonId !== second.record.daemonId) return false;
  return first.processKey === undefined || second.processKey === undefined
    ? first.record.incarnation === second.record.incarnation
    : first.processKey === second.processKey;
}
