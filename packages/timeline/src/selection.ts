import type { MergedEvent } from './merge-timelines';

/** What to show; absent fields do not restrict. */
export interface Selection {
  readonly root?: string | undefined;
  /** Span on the common time line, in ms since the epoch, both ends included. */
  readonly fromMs?: number | undefined;
  readonly toMs?: number | undefined;
}

/** The merged events that a selection keeps, in their order. */
export function selectEvents(merged: readonly MergedEvent[], selection: Selection): MergedEvent[] {
  const { root, fromMs = Number.NEGATIVE_INFINITY, toMs = Number.POSITIVE_INFINITY } = selection;
  return merged.filter(
    ({ event, atMs }) =>
      (root === undefined || event.root === root) && atMs >= fromMs && atMs <= toMs,
  );
}
