import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';

/** Content of the first frame that each side of a connection sends. */
export interface Hello {
  readonly record: DaemonRecord;
  /** Version of the sender's configuration; 0 for none. */
  readonly configurationVersion: number;
  /** True if the sender requests all daemon records of the receiver. */
  readonly wantsView: boolean;
  /** True if the sender follows the store. */
  readonly isReading: boolean;
  /** True if the sender accepts bodies in parts; earlier builds expect each in one frame. */
  readonly acceptsBodyParts: boolean;
}
