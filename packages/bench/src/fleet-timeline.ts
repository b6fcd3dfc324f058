import type { AdminClient } from './admin-client';

/** The fields of a time line event that the fleet scenario reads. */
export interface FleetEvent {
  readonly wallMs: number;
  readonly kind: string;
  readonly detail?: string;
}

interface TimelinePage {
  readonly events?: readonly (FleetEvent & { readonly sequence: number })[];
}

const PAGE_EVENTS = 5_000;

/** Reads all events that a daemon still holds. */
export async function readTimeline(admin: AdminClient): Promise<readonly FleetEvent[]> {
  const events: FleetEvent[] = [];
  let afterSequence = 0;
  for (;;) {
    const page = await admin.call<TimelinePage>('ReadTimeline', {
      afterSequence,
      limit: PAGE_EVENTS,
    });
    const read = page.events ?? [];
    events.push(...read);
    const last = read.at(-1);
    if (last === undefined) return events;
    afterSequence = last.sequence;
  }
}

/** An accepted change: its revision and when the operator asked for it. */
export interface AcceptedChange {
  readonly revision: number;
  readonly askedAtMs: number;
}

/** Times in ms until each daemon applied each change; `missing` counts those that never did. */
export interface Propagation {
  readonly timesMs: readonly number[];
  readonly missing: number;
}

function appliedRevisions(events: readonly FleetEvent[]): readonly { r: number; atMs: number }[] {
  return events
    .filter(({ kind }) => kind === 'policy.applied')
    .map(({ detail, wallMs }) => ({ r: Number(detail), atMs: wallMs }));
}

/** Works out how long each change took to reach each daemon. */
export function propagationOf(
  changes: readonly AcceptedChange[],
  timelines: readonly (readonly FleetEvent[])[],
): Propagation {
  const timesMs: number[] = [];
  let missing = 0;
  for (const events of timelines) {
    const applied = appliedRevisions(events);
    for (const { revision, askedAtMs } of changes) {
      const first = applied.find(({ r }) => r >= revision);
      if (first === undefined) missing += 1;
      else timesMs.push(first.atMs - askedAtMs);
    }
  }
  return { timesMs, missing };
}

/** Times that a daemon applied a lower revision than one before. */
export function revertedRevisions(timelines: readonly (readonly FleetEvent[])[]): number {
  return timelines.reduce((sum, events) => {
    const revisions = appliedRevisions(events).map(({ r }) => r);
    const reverted = revisions.filter((r, index) => index > 0 && r < (revisions[index - 1] ?? 0));
    return sum + reverted.length;
  }, 0);
}

/** States in which a member that does not answer is avoided. */
const NOTICED_STATES: readonly string[] = ['suspect', 'dead'];

/** Time until the last survivor took the last killed daemon for lost; null if one never did. */
export function detectionMaxMs(
  killed: readonly string[],
  killedAtMs: number,
  survivors: readonly (readonly FleetEvent[])[],
): number | null {
  let greatestMs = 0;
  for (const events of survivors) {
    for (const name of killed) {
      const noticed = events.find(
        ({ kind, detail, wallMs }) =>
          kind === 'member.state' &&
          wallMs >= killedAtMs &&
          NOTICED_STATES.some((state) => detail?.startsWith(`${name} ${state} `) === true),
      );
      if (noticed === undefined) return null;
      greatestMs = Math.max(greatestMs, noticed.wallMs - killedAtMs);
    }
  }
  return greatestMs;
}
