import type { TimelineEvent, TimelineKindName } from '@daisyferry/model/timeline-event';

const START_MS = 1_800_000_000_000;

interface RecordedEvent {
  readonly daemon: string;
  /** Time of the event, in ms since the first event. */
  readonly atMs: number;
  readonly kind: TimelineKindName;
  readonly call?: string;
  readonly parentCall?: string;
  readonly service?: string;
  readonly method?: string;
  readonly detail?: string;
  readonly durationMs?: number;
  readonly root?: string;
}

const PAYOUT = { root: 'root-payout', service: 'vault', method: 'payout' };
const RATE = { root: 'root-payout', service: 'pricing', method: 'rate' };

/**
 * Events of a payout whose target makes a nested rate call, and two state changes of a daemon. A
 * full queue refuses the first attempt of the nested call.
 */
const RECORDED_EVENTS: readonly RecordedEvent[] = [
  { daemon: 'pricing-1', atMs: 0, kind: 'target.state', service: 'pricing', detail: 'serving' },
  { daemon: 'teller-1', atMs: 10, kind: 'call.received', ...PAYOUT },
  { daemon: 'teller-1', atMs: 11, kind: 'call.sent', ...PAYOUT, call: 'c-1', detail: 'vault-1' },
  { daemon: 'vault-1', atMs: 12, kind: 'call.ticketed', ...PAYOUT, call: 'c-1' },
  { daemon: 'vault-1', atMs: 13, kind: 'call.admitted', ...PAYOUT, call: 'c-1', durationMs: 0.5 },
  { daemon: 'vault-1', atMs: 14, kind: 'call.handed-over', ...PAYOUT, call: 'c-1' },
  { daemon: 'vault-1', atMs: 20, kind: 'call.received', ...RATE, parentCall: 'c-1' },
  {
    daemon: 'vault-1',
    atMs: 21,
    kind: 'call.sent',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-2',
    detail: 'pricing-1',
  },
  {
    daemon: 'pricing-1',
    atMs: 22,
    kind: 'call.refused',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-2',
    detail: 'queue-full',
  },
  {
    daemon: 'vault-1',
    atMs: 23,
    kind: 'call.refused',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-2',
    detail: 'queue-full',
  },
  {
    daemon: 'vault-1',
    atMs: 23,
    kind: 'call.retried',
    ...RATE,
    parentCall: 'c-1',
    detail: 'pricing-1',
  },
  {
    daemon: 'vault-1',
    atMs: 24,
    kind: 'call.sent',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-3',
    detail: 'pricing-2',
  },
  {
    daemon: 'pricing-2',
    atMs: 25,
    kind: 'call.admitted',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-3',
  },
  {
    daemon: 'pricing-2',
    atMs: 26,
    kind: 'call.handed-over',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-3',
  },
  {
    daemon: 'pricing-2',
    atMs: 30,
    kind: 'call.answered',
    ...RATE,
    parentCall: 'c-1',
    call: 'c-3',
    durationMs: 5,
  },
  { daemon: 'vault-1', atMs: 31, kind: 'call.answered', ...RATE, parentCall: 'c-1', call: 'c-3' },
  { daemon: 'vault-1', atMs: 40, kind: 'call.answered', ...PAYOUT, call: 'c-1', durationMs: 28 },
  { daemon: 'teller-1', atMs: 41, kind: 'call.answered', ...PAYOUT, call: 'c-1' },
  { daemon: 'pricing-1', atMs: 50, kind: 'threshold.state', service: 'pricing', detail: '2.5' },
];

/** Clock error of each daemon, in ms. */
export type ClockErrors = Readonly<Record<string, number>>;

/** Returns the recorded events in their true order, with the given clock errors applied. */
export function payoutTimelineEvents(clockErrors: ClockErrors = {}): TimelineEvent[] {
  const sequences = new Map<string, number>();
  return RECORDED_EVENTS.map(({ atMs, daemon, ...recordedEvent }) => {
    const sequence = (sequences.get(daemon) ?? 0) + 1;
    sequences.set(daemon, sequence);
    const wallMs = START_MS + atMs + (clockErrors[daemon] ?? 0);
    return { daemon, incarnation: '00000000000000aa', sequence, wallMs, ...recordedEvent };
  });
}
