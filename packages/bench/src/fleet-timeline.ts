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

/** How the survivors noticed the loss of daemons. */
export interface Detection {
  /** Times from the kill, one for each pair of a survivor and a killed daemon that it noticed. */
  readonly timesMs: readonly number[];
  /** Pairs of which the survivor noticed nothing. */
  readonly missing: number;
}

/** The time from which on a survivor takes a member for lost, seen from the kill. */
function noticedAtMs(
  events: readonly FleetEvent[],
  name: string,
  killedAtMs: number,
): number | undefined {
  const states = events.filter(
    ({ kind, detail }) => kind === 'member.state' && detail?.startsWith(`${name} `) === true,
  );
  const isLost = ({ detail }: FleetEvent): boolean =>
    NOTICED_STATES.includes(detail?.split(' ')[1] ?? '');
  const before = states.filter(({ wallMs }) => wallMs < killedAtMs).at(-1);
  if (before !== undefined && isLost(before)) return killedAtMs;
  return states.find((event) => event.wallMs >= killedAtMs && isLost(event))?.wallMs;
}

/** Finds when each survivor took each killed daemon for lost. */
export function detectionOf(
  killed: readonly string[],
  killedAtMs: number,
  survivors: readonly (readonly FleetEvent[])[],
): Detection {
  const timesMs: number[] = [];
  let missing = 0;
  for (const events of survivors) {
    for (const name of killed) {
      const atMs = noticedAtMs(events, name, killedAtMs);
      if (atMs === undefined) missing += 1;
      else timesMs.push(atMs - killedAtMs);
    }
  }
  return { timesMs, missing };
}
