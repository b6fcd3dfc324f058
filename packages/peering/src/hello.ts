import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';

/** First frame of each side of a connection. */
export interface Hello {
  readonly record: DaemonRecord;
  /** Version of the configuration that the sender runs; 0 for none. */
  readonly configurationVersion: number;
  /** True if the sender cannot read the store and asks for all records. */
  readonly wantsView: boolean;
}
