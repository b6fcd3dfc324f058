import type { MergedEvent } from './merge-timelines';

/** Filter for events; absent fields match every event. */
export interface Selection {
  readonly root?: string | undefined;
  /** Inclusive time range on the merged timeline, in ms since the epoch. */
  readonly fromMs?: number | undefined;
  readonly toMs?: number | undefined;
}

/** Returns the merged events that match a selection, in their order. */
export function selectEvents(merged: readonly MergedEvent[], selection: Selection): MergedEvent[] {
  const { root, fromMs = Number.NEGATIVE_INFINITY, toMs = Number.POSITIVE_INFINITY } = selection;
  return merged.filter(
    ({ event, atMs }) =>
      (root === undefined || event.root === root) && atMs >= fromMs && atMs <= toMs,
  );
}
