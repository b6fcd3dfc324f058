import type { DaemonRecord } from './daemon-record';
import { requestRank } from './request-rank';

/**
 * The home at which a blocked request is tried again. All daemons with the same records name the same
 * one, so that it is tried at one target of the fleet.
 */
export function trialHome(
  records: readonly DaemonRecord[],
  fingerprint: string,
): DaemonRecord | undefined {
  let first: { readonly record: DaemonRecord; readonly rank: number } | undefined;
  for (const record of records) {
    const rank = requestRank(`${fingerprint}/${record.daemonId}`);
    if (first === undefined || rank < first.rank) first = { record, rank };
  }
  return first?.record;
}
