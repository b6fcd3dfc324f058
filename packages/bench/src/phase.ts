import type { ServicePolicy } from '@daisyferry/model/policy';
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { summarizePhase } from './summarize-phase';
import { Cluster } from './cluster';
import type { Deployment } from './deployment';
import { FaultInjector, type InjectionLog } from './fault-injector';
import type { LoadDone, LoadProgress } from './load-generator';
import type { LoadPlan } from './load-plan';
import { MetricSampler } from './metric-sampler';
import { retryBoundOf } from './policy-files';
import type { ProcessGroup } from './process-group';
import type { Programs } from './programs';
import { readRecords } from './record-reader';
import type { RequestRecord, TargetRecord } from './records';
import type { PhaseReport, SeriesGroup } from './report';
import type { Scenario } from './scenario';
import { attemptSeries, goodputSeries } from './series';
import { wallClockMs } from './wall-clock';

const START_DELAY_MS = 1_000;

/** One phase of a run: the system, or the baseline in pass-through mode, without decisions. */
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

/** Tools and callbacks that a phase runs with. */
export interface PhaseEnvironment {
  readonly programs: Programs;
  readonly group: ProcessGroup;
  printProgress(line: string): void;
  /** Called after the load, before the processes stop. */
  beforeStop?(cluster: Cluster): Promise<void>;
}

interface LoadOutcome {
  readonly done: LoadDone['done'];
  readonly injection: InjectionLog;
  readonly metrics: readonly SeriesGroup[];
}

function createCluster(plan: PhasePlan, environment: PhaseEnvironment): Cluster {
  return new Cluster(
    {
      deployment: plan.deployment,
      policies: plan.policies,
      seed: plan.seed,
      phase: plan.name,
      mode: plan.name === 'system' ? 'full' : 'passThrough',
      disabledMechanisms: plan.name === 'system' ? plan.disabledMechanisms : [],
      servicesWithSharedProcess: new Set(),
      folder: plan.folder,
      timelineSampleRatio: plan.timelineSampleRatio,
    },
    environment.programs,
    environment.group,
  );
}

function createLoadPlan(plan: PhasePlan, cluster: Cluster, startAtMs: number): LoadPlan {
  return {
    seed: plan.seed,
    phase: plan.name,
    startAtMs,
    durationMs: plan.scenario.durationMs,
    kinds: plan.deployment.requests,
    spans: plan.scenario.demand,
    entries: cluster.entryUrlsByService(),
    resultsFile: path.join(plan.folder, 'requests.jsonl'),
  };
}

async function runLoad(
  plan: PhasePlan,
  environment: PhaseEnvironment,
  cluster: Cluster,
  loadPlan: LoadPlan,
): Promise<LoadOutcome> {
  const file = path.join(plan.folder, 'load.json');
  writeFileSync(file, JSON.stringify(loadPlan));
  const generator = environment.group.start('load', environment.programs.bench, [
    'load-generator',
    file,
  ]);
  generator.onLine((line) => {
    const { progress } = JSON.parse(line) as Partial<LoadProgress>;
    if (progress === undefined) return;
    const { offered, completed, ended } = progress;
    environment.printProgress(
      `${plan.name}: ${offered} offered, ${ended} ended, ${completed} completed`,
    );
  });
  const sampler = new MetricSampler(cluster, loadPlan.startAtMs, environment.group);
  sampler.start();
  const injector = new FaultInjector(cluster, plan.policies, environment.printProgress);
  const injectionDone = injector.injectAll(
    plan.scenario.faults(plan.deployment),
    loadPlan.startAtMs,
  );
  const { done } = await generator.firstLineWith<LoadDone>('done');
  const injection = await injectionDone;
  sampler.stop();
  return { done, injection, metrics: sampler.chartGroups(plan.name) };
}

/** Runs one phase: starts the processes, runs the load, and computes the figures. */
export async function runPhase(
  plan: PhasePlan,
  environment: PhaseEnvironment,
): Promise<PhaseResult> {
  // Records of an earlier run in the same folder would be counted as records of this run.
  rmSync(plan.folder, { recursive: true, force: true });
  mkdirSync(plan.folder, { recursive: true });
  environment.printProgress(`${plan.name}: starting the processes`);
  const cluster = createCluster(plan, environment);
  await cluster.start();
  environment.printProgress(`${plan.name}: ${environment.group.runningCount} processes`);
  const startAtMs = wallClockMs() + START_DELAY_MS;
  const loadPlan = createLoadPlan(plan, cluster, startAtMs);
  const { done, injection, metrics } = await runLoad(plan, environment, cluster, loadPlan);
  await environment.beforeStop?.(cluster);
  const cpuMs = environment.group.cpuMsByProcess();
  const storeCounts = await cluster.store.counts();
  await environment.group.stopAll();
  const requests = readRecords<RequestRecord>(loadPlan.resultsFile);
  const targetRecords = cluster.recordFiles.flatMap((file) => readRecords<TargetRecord>(file));
  const report = summarizePhase({
    deployment: plan.deployment,
    scenario: plan.scenario,
    startAtMs,
    requests,
    targetRecords,
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
