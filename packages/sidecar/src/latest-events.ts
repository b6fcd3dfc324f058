import type { WatchEvent } from '@daisyferry/store/key-value-store';

/** The last event of each key: an earlier one of the same response is no longer true. */
export function latestEvents(events: readonly WatchEvent[]): WatchEvent[] {
  return [...new Map(events.map((event) => [event.key, event])).values()];
}
