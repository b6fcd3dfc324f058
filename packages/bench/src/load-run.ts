import { writeFileSync } from 'node:fs';
import path from 'node:path';
import type { BenchContext } from './bench-context';
import type { Deployment } from './deployment';
import { runPhase, type PhasePlan, type PhaseEnvironment } from './phase';
import type { LoadReport } from './report';
import { reportHtml, type PageAssets } from './report-html';
import { reportTable } from './report-table';
import { scaledDeployment } from './scaled-deployment';
import type { Scenario } from './scenario';

function deploymentFor(deployment: Deployment, scenario: Scenario): Deployment {
  const { instancesPerService } = scenario;
  if (instancesPerService === undefined) return deployment;
  return scaledDeployment(deployment, instancesPerService);
}

function createPhasePlan(
  context: BenchContext,
  scenario: Scenario,
  name: PhasePlan['name'],
): PhasePlan {
  return {
    name,
    deployment: deploymentFor(context.deployment, scenario),
    scenario,
    seed: context.seed,
    disabledMechanisms: context.disabledMechanisms,
    policies: context.policies,
    folder: path.join(context.outFolder, name),
    timelineSampleRatio: context.timelineSampleRatio,
  };
}

/** Runs a load scenario for the system and the baseline, and writes the HTML report. */
export async function runLoadScenario(
  context: BenchContext,
  scenario: Scenario,
  assets: PageAssets,
  beforeStop?: PhaseEnvironment['beforeStop'],
): Promise<LoadReport> {
  const { programs, group, printProgress } = context;
  const environment: PhaseEnvironment = { programs, group, printProgress };
  const systemEnvironment = beforeStop === undefined ? environment : { ...environment, beforeStop };
  const system = await runPhase(createPhasePlan(context, scenario, 'system'), systemEnvironment);
  const baseline = context.withBaseline
    ? await runPhase(createPhasePlan(context, scenario, 'baseline'), environment)
    : null;
  const report: LoadReport = {
    deployment: context.deployment.name,
    scenario: scenario.name,
    seed: context.seed,
    disabledMechanisms: context.disabledMechanisms,
    system: system.report,
    baseline: baseline?.report ?? null,
  };
  const page = {
    title: `${report.deployment} ${report.scenario}, seed ${report.seed}`,
    table: reportTable(report),
    groups: [...system.groups, ...(baseline?.groups ?? [])],
  };
  writeFileSync(path.join(context.outFolder, 'report.html'), reportHtml(page, assets));
  return report;
}
