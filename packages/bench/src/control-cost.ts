import { request } from 'undici';
import type { DaemonProcess } from './daemon-process';
import type { ControlCost } from './fleet-report';
import { sumByService } from './metric-text';
import { processUsage } from './process-usage';
import { wallClockMs } from './wall-clock';

/** Metrics that together count the control traffic of a daemon, both directions. */
const CONTROL_BYTE_METRICS: readonly string[] = [
  'daisyferry_control_bytes_total',
  'daisyferry_gossip_bytes_in',
  'daisyferry_gossip_bytes_out',
];

/** What one daemon had used at one moment. */
export interface DaemonUsage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly controlBytes: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  readonly metrics: ReadonlyMap<string, number>;
}

/** Reads the metrics of a daemon by name, added up over their labels. */
export async function readMetrics(daemon: DaemonProcess): Promise<ReadonlyMap<string, number>> {
  const answer = await request(`${daemon.adminUrl}/metrics`);
  const text = await answer.body.text();
  const samples = sumByService([{ service: daemon.plan.service, text }]);
  return new Map(samples.map(({ name, value }) => [name, value]));
}

export async function usageOf(daemon: DaemonProcess): Promise<DaemonUsage> {
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

/** The greatest cost of any daemon between two readings of all. */
export function costliest(
  before: ReadonlyMap<string, DaemonUsage>,
  after: ReadonlyMap<string, DaemonUsage>,
): ControlCost {
  let controlBytesPerSecond = 0;
  let controlCpuRatio = 0;
  for (const [name, last] of after) {
    const first = before.get(name);
    if (first === undefined) continue;
    const spanMs = last.atMs - first.atMs;
    const bytesPerSecond = ((last.controlBytes - first.controlBytes) * 1_000) / spanMs;
    controlBytesPerSecond = Math.max(controlBytesPerSecond, bytesPerSecond);
    controlCpuRatio = Math.max(controlCpuRatio, (last.cpuMs - first.cpuMs) / spanMs);
  }
  return { controlBytesPerSecond, controlCpuRatio };
}
