import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import type { CallPathParts } from './call-path-parts';
import type { ControlPlane } from './control-plane';

export interface GaugeSources {
  readonly callPath: CallPathParts;
  readonly control: ControlPlane;
  readonly scheduler: Scheduler;
}

type ReadGauge = (sources: GaugeSources, nowMs: number) => number;

/** Gauges that are read on every scrape: name, help text and value. */
const GAUGES: readonly (readonly [string, string, ReadGauge])[] = [
  [
    'daisyferry_limit',
    'Calls that may be in flight at the target.',
    ({ callPath }, nowMs) => callPath.admission.snapshot(nowMs).limit,
  ],
  [
    'daisyferry_in_flight',
    'Calls that hold a slot.',
    ({ callPath }, nowMs) => callPath.admission.snapshot(nowMs).inFlight,
  ],
  [
    'daisyferry_queued',
    'Calls that wait for a slot.',
    ({ callPath }, nowMs) => callPath.admission.snapshot(nowMs).queued,
  ],
  [
    'daisyferry_threshold',
    'Priority from which calls are shed; 4 sheds none.',
    ({ callPath }, nowMs) => callPath.admission.threshold(nowMs),
  ],
  [
    'daisyferry_execution_records',
    'Execution records kept.',
    ({ callPath }) => callPath.records.stats().records,
  ],
  [
    'daisyferry_execution_record_bytes',
    'Bytes of execution records and recorded answers.',
    ({ callPath }) => callPath.records.stats().bytes,
  ],
  [
    'daisyferry_members',
    'Members known and not dead.',
    ({ control }) => control.membership.table.liveCount,
  ],
  [
    'daisyferry_policy_revision',
    'Greatest policy revision applied.',
    ({ control }) => control.policies.revision,
  ],
  [
    'daisyferry_policy_ready',
    '1 once the daemon admits calls.',
    ({ control }) => Number(control.policies.ready),
  ],
  [
    'daisyferry_store_regressions',
    'Times that the store was behind the policies in force.',
    ({ control }) => control.reader.counters.regressions,
  ],
  [
    'daisyferry_heap_used_bytes',
    'Heap in use, garbage that is not collected yet included.',
    () => process.memoryUsage().heapUsed,
  ],
  [
    'daisyferry_gossip_bytes_in',
    'Bytes of gossip received, headers included.',
    ({ control }) => control.membership.counters.bytesIn,
  ],
  [
    'daisyferry_gossip_bytes_out',
    'Bytes of gossip sent, headers included.',
    ({ control }) => control.membership.counters.bytesOut,
  ],
];

/** Registers the gauges of a daemon. */
export function registerGauges(metrics: DaemonMetrics, sources: GaugeSources): void {
  for (const [name, help, read] of GAUGES) {
    metrics.addGauge(name, help, () => read(sources, sources.scheduler.nowMs()));
  }
  metrics.addLabelledGauge(
    'daisyferry_gossip_dropped',
    'Datagrams dropped, by reason.',
    'reason',
    () => new Map(Object.entries(sources.control.membership.counters.dropped)),
  );
}
