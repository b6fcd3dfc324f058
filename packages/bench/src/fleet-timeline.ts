import type { BenchAdminClient } from './bench-admin-client';

/** The fields of a timeline event that the fleet scenario reads. */
export interface FleetEvent {
  readonly wallMs: number;
  readonly kind: string;
  readonly detail?: string;
}

interface FleetTimelinePage {
  readonly events?: readonly (FleetEvent & { readonly sequence: number })[];
}

const PAGE_EVENTS = 5_000;

/** Reads all events that a daemon still has in memory. */
export async function readTimeline(admin: BenchAdminClient): Promise<readonly FleetEvent[]> {
  const events: FleetEvent[] = [];
  let afterSequence = 0;
  for (;;) {
    const page = await admin.callMethod<FleetTimelinePage>('ReadTimeline', {
      afterSequence,
      limit: PAGE_EVENTS,
    });
    const pageEvents = page.events ?? [];
    events.push(...pageEvents);
    const last = pageEvents.at(-1);
    if (last === undefined) return events;
    afterSequence = last.sequence;
  }
}

/** An accepted policy change: its revision and the time of the request. */
export interface AcceptedPolicyChange {
  readonly revision: number;
  readonly requestedAtMs: number;
}

/** Times in ms until each daemon applied each change; `missing` counts changes never applied. */
export interface Propagation {
  readonly timesMs: readonly number[];
  readonly missing: number;
}

function appliedRevisions(
  events: readonly FleetEvent[],
): readonly { revision: number; atMs: number }[] {
  return events
    .filter(({ kind }) => kind === 'policy.applied')
    .map(({ detail, wallMs }) => ({ revision: Number(detail), atMs: wallMs }));
}

/**
 * Computes how long each change took to reach each daemon; a later revision includes an earlier
 * one.
 */
export function measurePropagation(
  changes: readonly AcceptedPolicyChange[],
  timelines: readonly (readonly FleetEvent[])[],
): Propagation {
  const timesMs: number[] = [];
  let missing = 0;
  for (const events of timelines) {
    const applied = appliedRevisions(events);
    for (const { revision, requestedAtMs } of changes) {
      const first = applied.find(({ revision: appliedRevision }) => appliedRevision >= revision);
      if (first === undefined) missing += 1;
      else timesMs.push(first.atMs - requestedAtMs);
    }
  }
  return { timesMs, missing };
}

/** Counts how often a daemon applied a lower revision than the one before. */
export function countRevertedRevisions(timelines: readonly (readonly FleetEvent[])[]): number {
  return timelines.reduce((sum, events) => {
    const revisions = appliedRevisions(events).map(({ revision }) => revision);
    const reverted = revisions.filter(
      (revision, index) => index > 0 && revision < (revisions[index - 1] ?? 0),
    );
    return sum + reverted.length;
  }, 0);
}

/** States in which calls avoid an unresponsive member. */
const DETECTED_STATES: readonly string[] = ['suspect', 'dead'];

/** Failure detection of the killed daemons by the survivors. */
export interface Detection {
  /**
   * Time from the kill to the detection, for each pair of a survivor and a killed daemon it
   * detected.
   */
  readonly timesMs: readonly number[];
  /** Pairs in which the survivor did not detect the failure. */
  readonly missing: number;
}

/**
 * Returns when a survivor detected the failure of a member: at the kill if it already suspected it.
 */
function detectedAtMs(
  events: readonly FleetEvent[],
  name: string,
  killedAtMs: number,
): number | undefined {
  const stateEvents = events.filter(
    ({ kind, detail }) => kind === 'member.state' && detail?.startsWith(`${name} `) === true,
  );
  const isDetected = ({ detail }: FleetEvent): boolean =>
    DETECTED_STATES.includes(detail?.split(' ')[1] ?? '');
  const lastBeforeKill = stateEvents.filter(({ wallMs }) => wallMs < killedAtMs).at(-1);
  if (lastBeforeKill !== undefined && isDetected(lastBeforeKill)) return killedAtMs;
  return stateEvents.find((event) => event.wallMs >= killedAtMs && isDetected(event))?.wallMs;
}

/** Finds when each survivor detected the failure of each killed daemon. */
export function measureDetection(
  killedNames: readonly string[],
  killedAtMs: number,
  survivorTimelines: readonly (readonly FleetEvent[])[],
): Detection {
  const timesMs: number[] = [];
  let missing = 0;
  for (const events of survivorTimelines) {
    for (const name of killedNames) {
      const atMs = detectedAtMs(events, name, killedAtMs);
      if (atMs === undefined) missing += 1;
      else timesMs.push(atMs - killedAtMs);
    }
  }
  return { timesMs, missing };
}
