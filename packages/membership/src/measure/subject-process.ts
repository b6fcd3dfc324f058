import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { measureClock } from './measure-clock';
import type { FleetPorts, ScalePlan } from './scale-plan';
import type { ScaleReport } from './scale-report';
import type { MeasuredDaemon } from './measured-daemon';
import { startMeasuredDaemon } from './measured-daemon';

const SETTLE_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const GARBAGE_COLLECTIONS = 3;
const GARBAGE_COLLECTION_PAUSE_MS = 500;

interface Sample {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly rpcBytes: number;
  readonly revision: number;
}

interface MemoryUse {
  readonly heapBytes: number;
  readonly rssBytes: number;
}

async function measureMemory(): Promise<MemoryUse> {
  setFlagsFromString('--expose_gc');
  const gc: unknown = runInNewContext('gc');
  for (let round = 0; round < GARBAGE_COLLECTIONS; round += 1) {
    if (typeof gc === 'function') gc();
    await delay(GARBAGE_COLLECTION_PAUSE_MS);
  }
  const { heapUsed, external, rss } = process.memoryUsage();
  return { heapBytes: heapUsed + external, rssBytes: rss };
}

function takeSample({ task, rpcBytes, replica }: MeasuredDaemon): Sample {
  const { user, system } = process.cpuUsage();
  return {
    atMs: measureClock.nowMs(),
    cpuMs: (user + system) / MICROSECONDS_PER_MS,
    sentBytes: task.counters.bytesOut,
    receivedBytes: task.counters.bytesIn,
    rpcBytes: rpcBytes.bytes,
    revision: replica.revision,
  };
}

type ControlCosts = Pick<
  ScaleReport,
  | 'durationMs'
  | 'controlBytesPerSecond'
  | 'gossipSentBytesPerSecond'
  | 'gossipReceivedBytesPerSecond'
  | 'rpcBytesPerSecond'
  | 'controlCpuRatio'
  | 'policyChanges'
>;

function controlCostsBetween(before: Sample, after: Sample): ControlCosts {
  const durationMs = after.atMs - before.atMs;
  const perSecond = (bytes: number): number => (bytes * MS_PER_SECOND) / durationMs;
  const sent = perSecond(after.sentBytes - before.sentBytes);
  const received = perSecond(after.receivedBytes - before.receivedBytes);
  const rpc = perSecond(after.rpcBytes - before.rpcBytes);
  return {
    durationMs,
    controlBytesPerSecond: sent + received + rpc,
    gossipSentBytesPerSecond: sent,
    gossipReceivedBytesPerSecond: received,
    rpcBytesPerSecond: rpc,
    controlCpuRatio: (after.cpuMs - before.cpuMs) / durationMs,
    policyChanges: after.revision - before.revision,
  };
}

/** Measures one daemon in the fleet that listens on the given ports. */
export async function runSubject(plan: ScalePlan, fleet: FleetPorts): Promise<ScaleReport> {
  const subject = await startMeasuredDaemon(plan, fleet);
  const memoryBefore = await measureMemory();
  const joinedAtMs = measureClock.nowMs();
  await subject.join();
  const startUpMs = measureClock.nowMs() - joinedAtMs;
  const { counters } = subject.task;
  const startUpBytes = subject.rpcBytes.bytes + counters.bytesIn + counters.bytesOut;
  await delay(SETTLE_MS);
  const before = takeSample(subject);
  await delay(plan.durationMs);
  const after = takeSample(subject);
  const uncollectedRssBytes = process.memoryUsage().rss;
  const memoryAfter = await measureMemory();
  const heapGrowthBytes = memoryAfter.heapBytes - memoryBefore.heapBytes;
  const rssGrowthBytes = memoryAfter.rssBytes - memoryBefore.rssBytes;
  return {
    members: subject.task.table.liveCount,
    policies: plan.policies,
    ...controlCostsBetween(before, after),
    controlMemoryBytes: Math.max(heapGrowthBytes, rssGrowthBytes),
    heapGrowthBytes,
    rssGrowthBytes,
    uncollectedRssGrowthBytes: uncollectedRssBytes - memoryBefore.rssBytes,
    startUpMs,
    startUpBytes,
  };
}
