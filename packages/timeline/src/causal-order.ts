import type { TimelineEvent, TimelineKindName } from '@daisyferry/model/timeline-event';

/** Kinds that end the processing of a call on a daemon. */
const CALL_END_KINDS: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
  'call.unknown',
  'call.cancelled',
]);

/** End kinds that the sender records only after it received the home daemon's reply. */
const REPLY_KINDS: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
]);

/** Identifies one incarnation of a daemon; its events are ordered by sequence. */
export function incarnationKey(event: TimelineEvent): string {
  return `${event.daemon}/${event.incarnation}`;
}

interface CallEventIndices {
  /** `call.sent` event of the sender. */
  sent: number | undefined;
  handedOver: number | undefined;
  /** Events that ended the call, on any daemon. */
  readonly ends: number[];
}

function indexEventsByCall(events: readonly TimelineEvent[]): Map<string, CallEventIndices> {
  const calls = new Map<string, CallEventIndices>();
  events.forEach(({ call, kind }, index) => {
    if (call === undefined) return;
    const indices = calls.get(call) ?? { sent: undefined, handedOver: undefined, ends: [] };
    calls.set(call, indices);
    if (kind === 'call.sent') indices.sent ??= index;
    if (kind === 'call.handed-over') indices.handedOver ??= index;
    if (CALL_END_KINDS.has(kind)) indices.ends.push(index);
  });
  return calls;
}

/** Returns, for each event, the index of the previous event of the same incarnation. */
function previousInIncarnation(events: readonly TimelineEvent[]): (number | undefined)[] {
  const order = events.map((_, index) => index);
  const sequenceOf = (index: number) => events[index]?.sequence ?? 0;
  order.sort((left, right) => sequenceOf(left) - sequenceOf(right));
  const lastIndexByKey = new Map<string, number>();
  const previous = new Array<number | undefined>(events.length);
  for (const index of order) {
    const event = events[index];
    if (event === undefined) continue;
    const key = incarnationKey(event);
    previous[index] = lastIndexByKey.get(key);
    lastIndexByKey.set(key, index);
  }
  return previous;
}

function endsInOtherIncarnations(
  events: readonly TimelineEvent[],
  call: CallEventIndices,
  sender: TimelineEvent,
): number[] {
  return call.ends.filter((end) => {
    const event = events[end];
    return event !== undefined && incarnationKey(event) !== incarnationKey(sender);
  });
}

/** Finds the predecessors of an event that follow from the messages of its own call. */
function predecessorsInCall(
  events: readonly TimelineEvent[],
  index: number,
  call: CallEventIndices | undefined,
): number[] {
  const event = events[index];
  if (call?.sent === undefined || event === undefined || call.sent === index) return [];
  const sender = events[call.sent];
  if (sender === undefined) return [];
  if (incarnationKey(sender) !== incarnationKey(event)) return [call.sent];
  return REPLY_KINDS.has(event.kind) ? endsInOtherIncarnations(events, call, sender) : [];
}

/**
 * Finds, for each event, the indices of the events that must precede it:
 * - the previous event of the same incarnation of the same daemon;
 * - for events of a call outside the sender's incarnation: the sender's `call.sent` event;
 * - for events of a nested call: the `call.handed-over` event of the parent call;
 * - for a `call.answered` or `call.refused` event at the sender of the call: the events that ended
 *   the call in other incarnations.
 */
export function findPredecessors(events: readonly TimelineEvent[]): number[][] {
  const calls = indexEventsByCall(events);
  const previous = previousInIncarnation(events);
  return events.map((event, index) => {
    const ownCall = event.call === undefined ? undefined : calls.get(event.call);
    const parentCall = event.parentCall === undefined ? undefined : calls.get(event.parentCall);
    const candidates = [
      previous[index],
      parentCall?.handedOver,
      ...predecessorsInCall(events, index, ownCall),
    ];
    return [...new Set(candidates)].filter(
      (predecessor) => predecessor !== undefined && predecessor !== index,
    );
  }) as number[][];
}
