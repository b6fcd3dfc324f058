import type { ServicePolicy } from '@daisyferry/model/policy';
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { accountFor } from './account';
import { Cluster } from './cluster';
import type { Deployment } from './deployment';
import { FaultInjector, type InjectionLog } from './fault-injector';
import type { LoadDone, LoadProgress } from './load-generator';
import type { LoadPlan } from './load-plan';
import { MetricSampler } from './metric-sampler';
import { retryBoundOf } from './policy-files';
import type { ProcessGroup } from './process-group';
import type { Programs } from './programs';
import { readJsonLines } from './record-reader';
import type { RequestRecord, TargetRecord } from './records';
import type { PhaseReport, SeriesGroup } from './report';
import type { Scenario } from './scenario';
import { attemptSeries, goodputSeries } from './series';
import { wallClockMs } from './wall-clock';

const START_DELAY_MS = 1_000;

/** One half of a run: the system, or the baseline with all decisions switched off. */
export interface PhasePlan {
  readonly name: 'system' | 'baseline';
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly policies: readonly ServicePolicy[];
  readonly seed: number;
  readonly disabledMechanisms: readonly string[];
  readonly folder: string;
  readonly timelineSampleRatio: number;
}

export interface PhaseResult {
  readonly report: PhaseReport;
  readonly groups: readonly SeriesGroup[];
}

/** What a phase needs of the program that runs it. */
export interface PhaseTools {
  readonly programs: Programs;
  readonly group: ProcessGroup;
  report(line: string): void;
  /** Called while the processes still run, after the load. */
  beforeStop?(cluster: Cluster): Promise<void>;
}

interface LoadOutcome {
  readonly done: LoadDone['done'];
  readonly injection: InjectionLog;
  readonly metrics: readonly SeriesGroup[];
}

function clusterOf(plan: PhasePlan, tools: PhaseTools): Cluster {
  return new Cluster(
    {
      deployment: plan.deployment,
      policies: plan.policies,
      seed: plan.seed,
      phase: plan.name,
      mode: plan.name === 'system' ? 'full' : 'passThrough',
      disabledMechanisms: plan.name === 'system' ? plan.disabledMechanisms : [],
      sharedProcess: new Set(),
      folder: plan.folder,
      timelineSampleRatio: plan.timelineSampleRatio,
    },
    tools.programs,
    tools.group,
  );
}

function loadPlanOf(plan: PhasePlan, cluster: Cluster, startAtMs: number): LoadPlan {
  return {
    seed: plan.seed,
    phase: plan.name,
    startAtMs,
    durationMs: plan.scenario.durationMs,
    kinds: plan.deployment.requests,
    spans: plan.scenario.demand,
    entries: cluster.entries(),
    resultsFile: path.join(plan.folder, 'requests.jsonl'),
  };
}

async function drive(
  plan: PhasePlan,
  tools: PhaseTools,
  cluster: Cluster,
  load: LoadPlan,
): Promise<LoadOutcome> {
  const file = path.join(plan.folder, 'load.json');
  writeFileSync(file, JSON.stringify(load));
  const generator = tools.group.start('load', tools.programs.bench, ['load-generator', file]);
  generator.onLine((line) => {
    const { progress } = JSON.parse(line) as Partial<LoadProgress>;
    if (progress === undefined) return;
    const { offered, completed, ended } = progress;
    tools.report(`${plan.name}: ${offered} offered, ${ended} ended, ${completed} completed`);
  });
  const sampler = new MetricSampler(cluster, load.startAtMs, tools.group);
  sampler.start();
  const injector = new FaultInjector(cluster, plan.policies, tools.report);
  const injecting = injector.run(plan.scenario.faults(plan.deployment), load.startAtMs);
  const { done } = await generator.firstLineWith<LoadDone>('done');
  const injection = await injecting;
  sampler.stop();
  return { done, injection, metrics: sampler.groups(plan.name) };
}

/** Runs one half: starts the processes, drives the load, and works out the figures. */
export async function runPhase(plan: PhasePlan, tools: PhaseTools): Promise<PhaseResult> {
  // The records of an earlier run must not be taken for this run's.
  rmSync(plan.folder, { recursive: true, force: true });
  mkdirSync(plan.folder, { recursive: true });
  tools.report(`${plan.name}: starting the processes`);
  const cluster = clusterOf(plan, tools);
  await cluster.start();
  tools.report(`${plan.name}: ${tools.group.runningCount} processes`);
  const startAtMs = wallClockMs() + START_DELAY_MS;
  const load = loadPlanOf(plan, cluster, startAtMs);
  const { done, injection, metrics } = await drive(plan, tools, cluster, load);
  await tools.beforeStop?.(cluster);
  const cpuMs = tools.group.cpuMsByProcess();
  const storeCounts = await cluster.store.counts();
  await tools.group.stopAll();
  const requests = readJsonLines<RequestRecord>(load.resultsFile);
  const records = cluster.recordFiles.flatMap((file) => readJsonLines<TargetRecord>(file));
  const report = accountFor({
    deployment: plan.deployment,
    scenario: plan.scenario,
    startAtMs,
    requests,
    records,
    injection,
    retryBound: retryBoundOf(plan.policies),
    storeCounts,
    cpuMs,
    generatorDelayP99Ms: done.eventLoopDelayP99Ms,
  });
  const { durationMs } = plan.scenario;
  const groups = [
    goodputSeries(`${plan.name}: whole requests`, requests, startAtMs, durationMs),
    attemptSeries(`${plan.name}: attempts by outcome`, requests, startAtMs, durationMs),
    ...metrics,
  ];
  return { report, groups };
}
