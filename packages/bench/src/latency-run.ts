import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { BenchContext } from './bench-context';
import { Cluster } from './cluster';
import type { Deployment } from './deployment';
import { allInstances } from './instance';
import { summarizeMs } from './latency';
import type { LatencyProbePlan, LatencyProbeResult } from './latency-probe';
import { processUsage } from './process-usage';
import type { LatencySummary } from './report';
import { tableText } from './table';
import { wallClockMs } from './wall-clock';

const WARM_UP_MS = 8_000;
const MEASURED_RATES = [
  { callsPerSecond: 60, durationMs: 15_000 },
  { callsPerSecond: 600, durationMs: 15_000 },
] as const;
const CPU_SAMPLE_INTERVAL_MS = 200;

/** Added latency at one rate of calls. */
export interface LatencyAtRate {
  readonly callsPerSecond: number;
  readonly pairs: number;
  readonly failures: number;
  readonly direct: LatencySummary;
  readonly throughTwoDaemons: LatencySummary;
  /** Percentiles of the differences within the pairs. */
  readonly addedLatencyP50Ms: number;
  readonly addedLatencyP99Ms: number;
  /** Difference of the 99th percentiles through the daemons and direct. */
  readonly differenceOfP99Ms: number;
  /** CPU time of the two daemons per call through both. */
  readonly cpuMsPerCall: number;
}

export interface LatencyPhaseReport {
  readonly addedLatencyP50Ms: number;
  readonly addedLatencyP99Ms: number;
  readonly rates: readonly LatencyAtRate[];
}

export interface LatencyReport {
  readonly scenario: 'latency';
  readonly deployment: string;
  readonly seed: number;
  /** The highest of the system's figures at the measured rates. */
  readonly addedLatencyP50Ms: number;
  readonly addedLatencyP99Ms: number;
  readonly system: LatencyPhaseReport;
  /** The same daemons in pass-through mode, without decisions. */
  readonly baseline: LatencyPhaseReport;
}

interface CpuSample {
  readonly atMs: number;
  readonly cpuMs: number;
}

function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}

function cpuMsBetween(samples: readonly CpuSample[], fromMs: number, toMs: number): number {
  const samplesWithin = samples.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs);
  return (samplesWithin.at(-1)?.cpuMs ?? 0) - (samplesWithin[0]?.cpuMs ?? 0);
}

function summarizeRate(
  result: LatencyProbeResult,
  cpuSamples: readonly CpuSample[],
): LatencyAtRate {
  const { callsPerSecond, pairs, failures } = result;
  const addedMs = pairs
    .map(({ directMs, throughMs }) => throughMs - directMs)
    .sort((left, right) => left - right);
  const direct = summarizeMs(pairs.map(({ directMs }) => directMs));
  const throughTwoDaemons = summarizeMs(pairs.map(({ throughMs }) => throughMs));
  return {
    callsPerSecond,
    pairs: pairs.length,
    failures,
    direct,
    throughTwoDaemons,
    addedLatencyP50Ms: percentile(addedMs, 0.5),
    addedLatencyP99Ms: percentile(addedMs, 0.99),
    differenceOfP99Ms: throughTwoDaemons.p99Ms - direct.p99Ms,
    cpuMsPerCall: cpuMsBetween(cpuSamples, result.fromMs, result.toMs) / Math.max(1, pairs.length),
  };
}

/** The deployment reduced to one service with one method that does no work. */
function echoDeployment(deployment: Deployment): Deployment {
  const call = { service: 'teller', httpMethod: 'GET', path: '/rates' } as const;
  const service = {
    name: call.service,
    instances: 2,
    slots: 170,
    connections: 1_100,
    methods: [{ httpMethod: call.httpMethod, path: call.path, workMeanMs: 0 }],
  };
  const requests = deployment.requests.slice(0, 1).map((kind) => ({ ...kind, call }));
  return { ...deployment, services: [service], requests, slowestService: call.service };
}

async function measurePhase(
  context: BenchContext,
  name: 'system' | 'baseline',
): Promise<LatencyPhaseReport> {
  const folder = path.join(context.outFolder, name);
  mkdirSync(folder, { recursive: true });
  const deployment = echoDeployment(context.deployment);
  const [entry, home] = allInstances(deployment).map((instance) => instance.name);
  if (entry === undefined || home === undefined)
    throw new Error('the latency scenario needs two instances, entry and home');
  const cluster = new Cluster(
    {
      deployment,
      policies: context.policies,
      seed: context.seed,
      phase: name,
      mode: name === 'system' ? 'full' : 'passThrough',
      disabledMechanisms: context.disabledMechanisms,
      servicesWithSharedProcess: new Set(),
      instancesWithoutTarget: new Set([entry]),
      folder,
      timelineSampleRatio: 0.01,
    },
    context.programs,
    context.group,
  );
  await cluster.start();
  const plan: LatencyProbePlan = {
    seed: context.seed,
    directUrl: `${cluster.targetProcessOf(home).urlOf(home)}/rates`,
    throughUrl: `${cluster.daemon(entry).callersUrl}/rates`,
    warmUpMs: WARM_UP_MS,
    rates: MEASURED_RATES,
    resultsFile: path.join(folder, 'pairs.json'),
  };
  const planFile = path.join(folder, 'probe.json');
  writeFileSync(planFile, JSON.stringify(plan));
  const cpuSamples: CpuSample[] = [];
  const pids = [entry, home].map((daemon) => cluster.daemon(daemon).pid);
  const samplingTimer = setInterval(() => {
    const cpuMs = pids.reduce((sum, pid) => sum + (processUsage(pid)?.cpuMs ?? 0), 0);
    cpuSamples.push({ atMs: wallClockMs(), cpuMs });
  }, CPU_SAMPLE_INTERVAL_MS);
  const probe = context.group.start('probe', context.programs.bench, ['latency-probe', planFile]);
  const exitCode = await probe.exited;
  clearInterval(samplingTimer);
  if (exitCode !== 0) throw new Error(`latency probe failed: ${probe.lastErrors}`);
  await context.group.stopAll();
  const results = JSON.parse(readFileSync(plan.resultsFile, 'utf8')) as LatencyProbeResult[];
  const rates = results.map((result) => summarizeRate(result, cpuSamples));
  return {
    addedLatencyP50Ms: Math.max(...rates.map(({ addedLatencyP50Ms }) => addedLatencyP50Ms)),
    addedLatencyP99Ms: Math.max(...rates.map(({ addedLatencyP99Ms }) => addedLatencyP99Ms)),
    rates,
  };
}

/** Measures the latency that two daemons add to a call, paired with the same call made directly. */
export async function runLatencyScenario(context: BenchContext): Promise<LatencyReport> {
  const system = await measurePhase(context, 'system');
  const baseline = await measurePhase(context, 'baseline');
  return {
    scenario: 'latency',
    deployment: context.deployment.name,
    seed: context.seed,
    addedLatencyP50Ms: system.addedLatencyP50Ms,
    addedLatencyP99Ms: system.addedLatencyP99Ms,
    system,
    baseline,
  };
}

/** Formats the figures as a table for the terminal. */
export function latencyTable(report: LatencyReport): string {
  const phases = [
    ['system', report.system],
    ['baseline', report.baseline],
  ] as const;
  const rows = phases.flatMap(([name, phaseReport]) =>
    phaseReport.rates.map((rate) => [
      `${name} at ${rate.callsPerSecond} calls/s`,
      rate.direct.p50Ms.toFixed(3),
      rate.throughTwoDaemons.p50Ms.toFixed(3),
      rate.addedLatencyP50Ms.toFixed(3),
      rate.addedLatencyP99Ms.toFixed(3),
      rate.differenceOfP99Ms.toFixed(3),
      rate.cpuMsPerCall.toFixed(3),
    ]),
  );
  const heading = [
    'latency, ms',
    'direct p50',
    'through p50',
    'added p50',
    'added p99',
    'p99 − p99',
    'CPU ms a call',
  ];
  return tableText([heading, ...rows]);
}
