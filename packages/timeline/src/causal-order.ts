import type { TimelineEvent, TimelineKindName } from '@daisyferry/model/timeline-event';

/** Kinds that end the processing of a call on a daemon. */
const CALL_END_KINDS: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
  'call.unknown',
  'call.cancelled',
]);

/** End kinds that the sender only records after it received the home daemon's reply. */
const REPLY_KINDS: ReadonlySet<TimelineKindName> = new Set<TimelineKindName>([
  'call.answered',
  'call.refused',
]);

/** Identifies one incarnation of a daemon; its events are ordered by sequence. */
export function incarnationKey(event: TimelineEvent): string {
  return `${event.daemon}/${event.incarnation}`;
}

interface CallEventIndexes {
  /** `call.sent` event of the sender. */
  sent: number | undefined;
  handedOver: number | undefined;
  /** Events that ended the call, on any daemon. */
  readonly ends: number[];
}

function indexEventsByCall(events: readonly TimelineEvent[]): Map<string, CallEventIndexes> {
  const calls = new Map<string, CallEventIndexes>();
  events.forEach(({ call, kind }, index) => {
    if (call === undefined) return;
    const indexes = calls.get(call) ?? { sent: undefined, handedOver: undefined, ends: [] };
    calls.set(call, indexes);
    if (kind === 'call.sent') indexes.sent ??= index;
    if (kind === 'call.handed-over') indexes.handedOver ??= index;
    if (CALL_END_KINDS.has(kind)) indexes.ends.push(index);
  });
  return calls;
}

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

function endsOnOtherDaemons(
  events: readonly TimelineEvent[],
  call: CallEventIndexes,
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
  call: CallEventIndexes | undefined,
): number[] {
  const event = events[index];
  if (call?.sent === undefined || event === undefined || call.sent === index) return [];
  const sender = events[call.sent];
  if (sender === undefined) return [];
  if (incarnationKey(sender) !== incarnationKey(event)) return [call.sent];
  return REPLY_KINDS.has(event.kind) ? endsOnOtherDaemons(events, call, sender) : [];
}

/**
 * Finds, for each event, the indices of the events that must precede it:
 * - the previous event of the same incarnation of the same daemon;
 * - for events of a call on its home daemon: the sender's `call.sent` event;
 * - for events of a nested call: the `call.handed-over` event of the parent call;
 * - for the reply to a call at its sender: the events that ended the call on other daemons.
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
