import type { TimelineEvent, TimelineKindName } from '@daisyferry/model/timeline-event';

/** Kinds by which the work for one call ends on a daemon. */
const ENDS: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
  'call.unknown',
  'call.cancelled',
]);

/** Ends that a sender only reports once it has the home's reply. */
const REPLIES: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
]);

/** One run of one daemon, whose events are ordered by their sequence. */
export function runOf(event: TimelineEvent): string {
  return `${event.daemon}/${event.incarnation}`;
}

interface CallIndexes {
  /** Event by which the sender sent the call. */
  sent: number | undefined;
  handedOver: number | undefined;
  /** Events by which the call ended, on any daemon. */
  readonly ends: number[];
}

function indexCalls(events: readonly TimelineEvent[]): Map<string, CallIndexes> {
  const calls = new Map<string, CallIndexes>();
  events.forEach(({ call, kind }, index) => {
    if (call === undefined) return;
    const indexes = calls.get(call) ?? { sent: undefined, handedOver: undefined, ends: [] };
    calls.set(call, indexes);
    if (kind === 'call.sent') indexes.sent ??= index;
    if (kind === 'call.handed-over') indexes.handedOver ??= index;
    if (ENDS.has(kind)) indexes.ends.push(index);
  });
  return calls;
}

function previousInRun(events: readonly TimelineEvent[]): (number | undefined)[] {
  const order = events.map((_, index) => index);
  const sequenceOf = (index: number) => events[index]?.sequence ?? 0;
  order.sort((left, right) => sequenceOf(left) - sequenceOf(right));
  const last = new Map<string, number>();
  const previous = new Array<number | undefined>(events.length);
  for (const index of order) {
    const event = events[index];
    if (event === undefined) continue;
    const run = runOf(event);
    previous[index] = last.get(run);
    last.set(run, index);
  }
  return previous;
}

function endsElsewhere(
  events: readonly TimelineEvent[],
  call: CallIndexes,
  sender: TimelineEvent,
): number[] {
  return call.ends.filter((end) => {
    const event = events[end];
    return event !== undefined && runOf(event) !== runOf(sender);
  });
}

/** What is known to precede an event by the messages of its own call. */
function predecessorsInCall(
  events: readonly TimelineEvent[],
  index: number,
  call: CallIndexes | undefined,
): number[] {
  const event = events[index];
  if (call?.sent === undefined || event === undefined || call.sent === index) return [];
  const sender = events[call.sent];
  if (sender === undefined) return [];
  if (runOf(sender) !== runOf(event)) return [call.sent];
  return REPLIES.has(event.kind) ? endsElsewhere(events, call, sender) : [];
}

/**
 * For each event the indices of events that are known to have come before it:
 * - the event before it on the same run of the same daemon;
 * - for events of a call on its home: that the sender sent it;
 * - for events of a nested call: that the call it belongs to was handed over to its target;
 * - for the reply to a call at its sender: the ends of the call on other daemons.
 */
export function predecessorsOf(events: readonly TimelineEvent[]): number[][] {
  const calls = indexCalls(events);
  const previous = previousInRun(events);
  return events.map((event, index) => {
    const own = event.call === undefined ? undefined : calls.get(event.call);
    const parent = event.parentCall === undefined ? undefined : calls.get(event.parentCall);
    const found = [previous[index], parent?.handedOver, ...predecessorsInCall(events, index, own)];
    return [...new Set(found)].filter((before) => before !== undefined && before !== index);
  }) as number[][];
}
