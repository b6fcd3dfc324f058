import { TimelineKind, type TimelineEvent } from '@daisyferry/model/timeline-event';
import { z } from 'zod';

/** A number in ProtoJSON: 64-bit integers are strings, and zero may be absent. */
const protoJsonNumber = z
  .union([z.number(), z.string().regex(/^-?\d+$/)])
  .default(0)
  .transform(Number);

const EVENT_KINDS: ReadonlySet<string> = new Set(Object.values(TimelineKind));

function isTimelineEvent(value: { readonly kind: string }): value is TimelineEvent {
  return EVENT_KINDS.has(value.kind);
}

const boundedText = z.string().max(4_096);

/** One event, as in responses of daemons and in JSON Lines files. */
export const timelineEventSchema = z
  .object({
    daemon: boundedText,
    incarnation: boundedText,
    sequence: protoJsonNumber,
    wallMs: protoJsonNumber,
    kind: boundedText,
    root: boundedText.optional(),
    call: boundedText.optional(),
    parentCall: boundedText.optional(),
    service: boundedText.optional(),
    method: boundedText.optional(),
    detail: boundedText.optional(),
    durationMs: z.number().optional(),
  })
  .refine(isTimelineEvent, 'unknown event kind');

/** Response of `ReadTimeline`. */
export const readTimelineResponseSchema = z.object({
  events: z.array(timelineEventSchema).default([]),
  incarnation: z.string().default(''),
  lost: protoJsonNumber,
});

export type ReadTimelineResponse = z.output<typeof readTimelineResponseSchema>;
