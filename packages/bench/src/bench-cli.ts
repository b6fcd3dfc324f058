import {
  runScaleProcess,
  type ScaleProcessOptions,
} from '@daisyferry/membership/measure/scale-run';
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import yargs from 'yargs';
import type { BenchContext, BenchOutcome } from './bench-context';
import { CONTROL_SCENARIOS } from './control-scenarios';
import { runDemo } from './run-demo';
import { dorado } from './dorado-deployment';
import { runLatencyProbe } from './latency-probe';
import { readPolicies } from './policy-files';
import { DEPLOYMENT_NAMES, DEPLOYMENTS } from './deployments';
import { runLoadGenerator } from './load-generator';
import { runLoadScenario } from './load-run';
import { ProcessGroup } from './process-group';
import { programsIn, requirePrograms } from './programs';
import { pageAssets } from './report-assets';
import { reportTable } from './report-table';
import { LOAD_SCENARIOS, loadScenario } from './scenarios';
import { runStandInTargets } from './stand-in-target-process';
import { tableText } from './table';
import { inBackground } from './in-background';

const EXIT_OK = 0;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;
/** Ratio of root requests whose timeline events the daemons keep. */
const TIMELINE_SAMPLE_RATIO = 0.01;
const DEMO_TIMELINE_SAMPLE_RATIO = 0.2;

interface ScenarioArguments {
  readonly deployment: string;
  readonly scenario: string | undefined;
  readonly seed: number;
  readonly out: string;
  readonly without: readonly string[];
  readonly baseline: boolean;
  readonly policies: string | undefined;
  readonly list: boolean;
  readonly profile: boolean;
  readonly timelineSampleRatio: number;
}

function printResult(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}

function printScenarios(): void {
  const rows = [...LOAD_SCENARIOS, ...CONTROL_SCENARIOS].map(({ name, summary }) => [
    name,
    summary,
  ]);
  printResult(tableText([['scenario', 'what happens'], ...rows], 'left'));
}

/** Runs a function with a process group and stops all its processes, also on SIGINT and SIGTERM. */
async function withProcessGroup(
  profileFolder: string | undefined,
  useProcesses: (group: ProcessGroup) => Promise<void>,
): Promise<number> {
  const group = new ProcessGroup(profileFolder);
  const stopOnSignal = (): void => {
    inBackground(group.stopAll().then(() => process.exit(EXIT_INTERRUPTED)));
  };
  process.once('SIGINT', stopOnSignal);
  process.once('SIGTERM', stopOnSignal);
  try {
    await useProcesses(group);
    return EXIT_OK;
  } catch (error) {
    printProgress(error instanceof Error ? (error.stack ?? error.message) : String(error));
    return EXIT_FAILURE;
  } finally {
    await group.stopAll();
  }
}

/** Returns a function that runs the named scenario, or undefined for an unknown name. */
function findScenarioRunner(
  name: string,
): ((context: BenchContext) => Promise<BenchOutcome>) | undefined {
  const controlScenario = CONTROL_SCENARIOS.find((scenario) => scenario.name === name);
  if (controlScenario !== undefined) return (context) => controlScenario.run(context);
  const selectedScenario = loadScenario(name);
  if (selectedScenario === undefined) return undefined;
  return async (context) => {
    const loadReport = await runLoadScenario(context, selectedScenario, pageAssets);
    return { report: loadReport, table: reportTable(loadReport) };
  };
}

async function runScenario(
  runSelected: (context: BenchContext) => Promise<BenchOutcome>,
  args: ScenarioArguments,
  buildFolder: string,
): Promise<number> {
  const deployment = DEPLOYMENTS[args.deployment] ?? dorado;
  const programs = programsIn(buildFolder);
  const examplePolicyFolder = path.join(buildFolder, '..', 'examples', deployment.name, 'policies');
  const outFolder = path.resolve(args.out);
  const profileFolder = args.profile ? path.join(outFolder, 'profiles') : undefined;
  return withProcessGroup(profileFolder, async (group) => {
    requirePrograms([programs.bench, programs.daemon, programs.storeStandIn]);
    mkdirSync(outFolder, { recursive: true });
    const outcome = await runSelected({
      deployment,
      policies: readPolicies(args.policies ?? examplePolicyFolder),
      seed: args.seed,
      outFolder,
      disabledMechanisms: args.without,
      withBaseline: args.baseline,
      timelineSampleRatio: args.timelineSampleRatio,
      programs,
      group,
      printProgress,
    });
    const reportFile = path.join(outFolder, 'report.json');
    writeFileSync(reportFile, `${JSON.stringify(outcome.report, null, 2)}\n`);
    printResult(outcome.table);
    printResult(`report: ${reportFile}`);
  });
}

async function runOrListScenarios(args: ScenarioArguments, buildFolder: string): Promise<number> {
  if (args.list) {
    printScenarios();
    return EXIT_OK;
  }
  const runSelected = findScenarioRunner(args.scenario ?? '');
  if (runSelected === undefined) {
    printProgress(`unknown scenario '${args.scenario ?? ''}'; --list prints all names`);
    return EXIT_USAGE;
  }
  return runScenario(runSelected, args, buildFolder);
}

/** Runs the command line of the measurement tool and returns the exit code. */
export async function runBenchCli(
  commandLineArgs: readonly string[],
  buildFolder: string,
): Promise<number> {
  let exitCode: number = EXIT_OK;
  await yargs(commandLineArgs)
    .scriptName('daisyferry-bench')
    .command(
      '$0',
      'Runs one scenario and writes report.json and report.html',
      (command) =>
        command
          .option('deployment', { choices: DEPLOYMENT_NAMES, default: 'dorado' })
          .option('scenario', { type: 'string', describe: 'name of the scenario, see --list' })
          .option('seed', { type: 'number', default: 1, describe: 'seed of all random numbers' })
          .option('out', { type: 'string', default: 'results/bench', describe: 'output folder' })
          .option('without', {
            type: 'string',
            array: true,
            default: [] as string[],
            describe: 'mechanisms to disable in the daemons',
          })
          .option('baseline', {
            type: 'boolean',
            default: true,
            describe: 'also measure the baseline; --no-baseline skips it',
          })
          .option('policies', { type: 'string', describe: 'folder with the policies to apply' })
          .option('profile', {
            type: 'boolean',
            default: false,
            describe: 'write a CPU profile of each started process',
          })
          .option('list', { type: 'boolean', default: false, describe: 'list the scenarios' }),
      async (args) => {
        exitCode = await runOrListScenarios(
          {
            ...args,
            scenario: args.scenario,
            policies: args.policies,
            timelineSampleRatio: TIMELINE_SAMPLE_RATIO,
          },
          buildFolder,
        );
      },
    )
    .command(
      'demo',
      'Runs a short surge on a small deployment and collects the timeline',
      (command) =>
        command
          .option('out', { type: 'string', default: 'results/demo', describe: 'output folder' })
          .option('seed', { type: 'number', default: 1, describe: 'seed of all random numbers' }),
      async (args) => {
        exitCode = await runScenario(
          (context) => runDemo(context, pageAssets),
          {
            ...args,
            deployment: dorado.name,
            scenario: undefined,
            without: [],
            baseline: false,
            policies: undefined,
            list: false,
            profile: false,
            timelineSampleRatio: DEMO_TIMELINE_SAMPLE_RATIO,
          },
          buildFolder,
        );
      },
    )
    .command(
      'latency-probe <plan>',
      false,
      (command) => command.positional('plan', { type: 'string', demandOption: true }),
      async ({ plan }) => runLatencyProbe(plan),
    )
    .command(
      'scale-process <order>',
      false,
      (command) => command.positional('order', { type: 'string', demandOption: true }),
      async ({ order }) => runScaleProcess(JSON.parse(order) as ScaleProcessOptions),
    )
    .command(
      'stand-in-target <plan>',
      false,
      (command) => command.positional('plan', { type: 'string', demandOption: true }),
      async ({ plan }) => runStandInTargets(plan),
    )
    .command(
      'load-generator <plan>',
      false,
      (command) => command.positional('plan', { type: 'string', demandOption: true }),
      async ({ plan }) => runLoadGenerator(plan),
    )
    .strict()
    .help()
    .parseAsync();
  return exitCode;
}
