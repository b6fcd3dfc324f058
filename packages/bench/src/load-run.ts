import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { Deployment } from './deployment';
import { runPhase, type PhasePlan, type PhaseTools } from './phase';
import { readPolicies } from './policy-files';
import type { LoadReport } from './report';
import { reportHtml, type PageAssets } from './report-html';
import { reportTable } from './report-table';
import type { Scenario } from './scenario';

/** What the command line asks of a load scenario. */
export interface LoadRunOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly outFolder: string;
  readonly policyFolder: string;
  readonly disabledMechanisms: readonly string[];
  /** Whether the baseline is measured as well. */
  readonly withBaseline: boolean;
  readonly timelineSampleRatio: number;
}

function phasePlan(options: LoadRunOptions, name: PhasePlan['name']): PhasePlan {
  const { deployment, scenario, seed, disabledMechanisms, timelineSampleRatio } = options;
  return {
    name,
    deployment,
    scenario,
    seed,
    disabledMechanisms,
    policies: readPolicies(options.policyFolder),
    folder: path.join(options.outFolder, name),
    timelineSampleRatio,
  };
}

function writeJson(outFolder: string, report: LoadReport): void {
  writeFileSync(path.join(outFolder, 'report.json'), `${JSON.stringify(report, null, 2)}\n`);
}

/** Runs a load scenario for the system and the baseline, and writes the report. */
export async function runLoadScenario(
  options: LoadRunOptions,
  tools: PhaseTools,
  assets: PageAssets,
): Promise<LoadReport> {
  mkdirSync(options.outFolder, { recursive: true });
  const system = await runPhase(phasePlan(options, 'system'), tools);
  const baseline = options.withBaseline
    ? await runPhase(phasePlan(options, 'baseline'), tools)
    : null;
  const report: LoadReport = {
    deployment: options.deployment.name,
    scenario: options.scenario.name,
    seed: options.seed,
    disabledMechanisms: options.disabledMechanisms,
    system: system.report,
    baseline: baseline?.report ?? null,
  };
  writeJson(options.outFolder, report);
  const page = {
    title: `${report.deployment} ${report.scenario}, seed ${report.seed}`,
    table: reportTable(report),
    groups: [...system.groups, ...(baseline?.groups ?? [])],
  };
  writeFileSync(path.join(options.outFolder, 'report.html'), reportHtml(page, assets));
  return report;
}
