/** Kinds of timeline events. `call.*` events are sampled by root request; all others are kept. */
export const TimelineKind = {
  callReceived: 'call.received',
  callTicketed: 'call.ticketed',
  callQueued: 'call.queued',
  callAdmitted: 'call.admitted',
  callSent: 'call.sent',
  callHandedOver: 'call.handed-over',
  callRetried: 'call.retried',
  callAnswered: 'call.answered',
  callRefused: 'call.refused',
  callUnknown: 'call.unknown',
  callCancelled: 'call.cancelled',
  targetState: 'target.state',
  memberState: 'member.state',
  policyApplied: 'policy.applied',
  storeState: 'store.state',
  thresholdState: 'threshold.state',
  daemonState: 'daemon.state',
} as const;

export type TimelineKindName = (typeof TimelineKind)[keyof typeof TimelineKind];

/** One event of one daemon. Events of one daemon are totally ordered by `sequence`. */
export interface TimelineEvent {
  readonly daemon: string;
  readonly incarnation: string;
  /** Starts at 1 with each incarnation. */
  readonly sequence: number;
  /** Wall-clock time in ms since the epoch; orders only events with no causal relation. */
  readonly wallMs: number;
  readonly kind: TimelineKindName;
  /** Root request, for call events. */
  readonly root?: string;
  /** Call of the root request that the event belongs to. */
  readonly call?: string;
  /** Call identifier of the calling call; gives the causal order across daemons. */
  readonly parentCall?: string;
  readonly service?: string;
  readonly method?: string;
  readonly detail?: string;
  readonly durationMs?: number;
}

/** Receives the events of one daemon. */
export interface TimelineSink {
  emit(event: Omit<TimelineEvent, 'daemon' | 'incarnation' | 'sequence' | 'wallMs'>): void;
}
