import { request } from 'undici';
import type { DaemonProcess } from './daemon-process';
import type { ControlCost } from './fleet-report';
import { sumByService } from './metric-text';
import { processUsage } from './process-usage';
import { wallClockMs } from './wall-clock';

/** Metrics whose sum is the control traffic of a daemon in both directions. */
const CONTROL_BYTE_METRICS: readonly string[] = [
  'daisyferry_control_bytes_total',
  'daisyferry_gossip_bytes_in',
  'daisyferry_gossip_bytes_out',
];

/** Cumulative resource usage of one daemon at one time. */
export interface DaemonUsage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly controlBytes: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  readonly metrics: ReadonlyMap<string, number>;
}

/** Reads the metrics of a daemon, summed over their labels, by name. */
export async function readMetrics(daemon: DaemonProcess): Promise<ReadonlyMap<string, number>> {
  const response = await request(`${daemon.adminUrl}/metrics`);
  const text = await response.body.text();
  const samples = sumByService([{ service: daemon.plan.service, text }]);
  return new Map(samples.map(({ name, value }) => [name, value]));
}

export async function readDaemonUsage(daemon: DaemonProcess): Promise<DaemonUsage> {
  const metrics = await readMetrics(daemon);
  const usage = processUsage(daemon.pid);
  const controlBytes = CONTROL_BYTE_METRICS.reduce(
    (sum, name) => sum + (metrics.get(name) ?? 0),
    0,
  );
  return {
    atMs: wallClockMs(),
    cpuMs: usage?.cpuMs ?? 0,
    residentBytes: usage?.residentBytes ?? 0,
    heapBytes: metrics.get('daisyferry_heap_used_bytes') ?? 0,
    controlBytes,
    metrics,
  };
}

/** Highest control cost of any daemon between two readings of all daemons. */
export function maxControlCost(
  before: ReadonlyMap<string, DaemonUsage>,
  after: ReadonlyMap<string, DaemonUsage>,
): ControlCost {
  let controlBytesPerSecond = 0;
  let controlCpuRatio = 0;
  for (const [name, usageAfter] of after) {
    const usageBefore = before.get(name);
    if (usageBefore === undefined) continue;
    const elapsedMs = usageAfter.atMs - usageBefore.atMs;
    const bytesPerSecond =
      ((usageAfter.controlBytes - usageBefore.controlBytes) * 1_000) / elapsedMs;
    controlBytesPerSecond = Math.max(controlBytesPerSecond, bytesPerSecond);
    controlCpuRatio = Math.max(controlCpuRatio, (usageAfter.cpuMs - usageBefore.cpuMs) / elapsedMs);
  }
  return { controlBytesPerSecond, controlCpuRatio };
}
