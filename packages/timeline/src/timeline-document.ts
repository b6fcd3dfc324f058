import { TimelineKind, type TimelineEvent } from '@daisyferry/model/timeline-event';
import { z } from 'zod';

/** A number as JSON of protocol buffers writes it: 64-bit ones are texts, zero may be absent. */
const protoNumber = z
  .union([z.number(), z.string().regex(/^-?\d+$/)])
  .default(0)
  .transform(Number);

const KINDS: ReadonlySet<string> = new Set(Object.values(TimelineKind));

function isEvent(value: { readonly kind: string }): value is TimelineEvent {
  return KINDS.has(value.kind);
}

const text = z.string().max(4_096);

/** One event, as daemons and JSON lines files give it. */
export const timelineEventSchema = z
  .object({
    daemon: text,
    incarnation: text,
    sequence: protoNumber,
    wallMs: protoNumber,
    kind: text,
    root: text.optional(),
    call: text.optional(),
    parentCall: text.optional(),
    service: text.optional(),
    method: text.optional(),
    detail: text.optional(),
    durationMs: z.number().optional(),
  })
  .refine(isEvent, 'unknown kind of event');

/** Answer of `ReadTimeline`. */
export const timelineAnswerSchema = z.object({
  events: z.array(timelineEventSchema).default([]),
  incarnation: z.string().default(''),
  lost: protoNumber,
});

export type TimelineAnswer = z.output<typeof timelineAnswerSchema>;
