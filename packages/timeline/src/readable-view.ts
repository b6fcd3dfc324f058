import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { MergedEvent } from './merge-timelines';

const TIME_WIDTH = 11;
const MS_DIGITS = 3;
const SHORT_IDENTIFIER_CHARACTERS = 8;
const INDENT = '  ';

function shortenIdentifier(identifier: string | undefined): string | undefined {
  return identifier?.slice(0, SHORT_IDENTIFIER_CHARACTERS);
}

/** Computes the nesting depth of calls below the root request. */
class CallDepths {
  private readonly parents = new Map<string, string>();

  constructor(merged: readonly MergedEvent[]) {
    for (const { event } of merged) {
      if (event.call !== undefined && event.parentCall !== undefined) {
        this.parents.set(event.call, event.parentCall);
      }
    }
  }

  depthOf(event: TimelineEvent): number {
    let depth = event.parentCall === undefined ? 0 : 1;
    const seen = new Set<string>();
    let call = event.parentCall;
    while (call !== undefined && !seen.has(call)) {
      seen.add(call);
      call = this.parents.get(call);
      if (call !== undefined) depth += 1;
    }
    return depth;
  }
}

function formatDetails(event: TimelineEvent): string[] {
  const method = event.method === undefined ? event.service : `${event.service}/${event.method}`;
  const parts = [
    method,
    event.call === undefined ? undefined : `call=${shortenIdentifier(event.call)}`,
    event.durationMs === undefined ? undefined : `${event.durationMs.toFixed(MS_DIGITS)} ms`,
    event.detail,
  ];
  return parts.filter((part) => part !== undefined && part !== '') as string[];
}

/**
 * Writes one line per event: time in ms since the first event, daemon, kind and details. Nested
 * calls are indented below their parent call.
 */
export function writeReadableView(merged: readonly MergedEvent[]): string {
  const startMs = merged[0]?.atMs ?? 0;
  const depths = new CallDepths(merged);
  const daemonWidth = Math.max(0, ...merged.map(({ event }) => event.daemon.length));
  const lines = merged.map(({ event, atMs }) => {
    const time = `+${(atMs - startMs).toFixed(MS_DIGITS)}`.padStart(TIME_WIDTH);
    const daemon = event.daemon.padEnd(daemonWidth);
    const indent = INDENT.repeat(depths.depthOf(event));
    return `${time}  ${daemon}  ${indent}${event.kind}  ${formatDetails(event).join('  ')}`.trimEnd();
  });
  const first = merged[0];
  if (first === undefined) return 'no events\n';
  const roots = new Set(merged.map(({ event }) => event.root));
  const [root] = roots.size === 1 ? roots : [];
  const header = new Date(first.atMs).toISOString();
  return `${[root === undefined ? header : `${header}  root ${root}`, ...lines].join('\n')}\n`;
}
