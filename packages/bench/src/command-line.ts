import {
  runScaleProcess,
  type ScaleProcessOptions,
} from '@daisyferry/membership/measure/scale-run';
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import yargs from 'yargs';
import type { BenchContext, BenchOutcome } from './bench-context';
import { CONTROL_SCENARIOS } from './control-scenarios';
import { runDemo } from './demo';
import { dorado } from './dorado';
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
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;
/** Share of the requests whose events the daemons keep, in measurements and in the demonstration. */
const SAMPLE_RATIO = 0.01;
const DEMO_SAMPLE_RATIO = 0.2;

interface RunArguments {
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

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function report(line: string): void {
  process.stderr.write(`${line}\n`);
}

function printScenarios(): void {
  const rows = [...LOAD_SCENARIOS, ...CONTROL_SCENARIOS].map(({ name, summary }) => [
    name,
    summary,
  ]);
  print(tableText([['scenario', 'what happens'], ...rows], 'left'));
}

/** Ends all started processes whatever happens, also on an interrupt from the terminal. */
async function withProcesses(
  profileFolder: string | undefined,
  work: (group: ProcessGroup) => Promise<void>,
): Promise<number> {
  const group = new ProcessGroup(profileFolder);
  const interrupt = (): void => {
    inBackground(group.stopAll().then(() => process.exit(EXIT_INTERRUPTED)));
  };
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  try {
    await work(group);
    return EXIT_OK;
  } catch (error) {
    report(error instanceof Error ? (error.stack ?? error.message) : String(error));
    return EXIT_FAILED;
  } finally {
    await group.stopAll();
  }
}

/** Finds the scenario of a name; undefined for an unknown one. */
function scenarioNamed(
  name: string,
): ((context: BenchContext) => Promise<BenchOutcome>) | undefined {
  const control = CONTROL_SCENARIOS.find((scenario) => scenario.name === name);
  if (control !== undefined) return (context) => control.run(context);
  const load = loadScenario(name);
  if (load === undefined) return undefined;
  return async (context) => {
    const loadReport = await runLoadScenario(context, load, pageAssets);
    return { report: loadReport, table: reportTable(loadReport) };
  };
}

async function runScenario(
  scenario: (context: BenchContext) => Promise<BenchOutcome>,
  args: RunArguments,
  buildFolder: string,
): Promise<number> {
  const deployment = DEPLOYMENTS[args.deployment] ?? dorado;
  const programs = programsIn(buildFolder);
  const examples = path.join(buildFolder, '..', 'examples', deployment.name, 'policies');
  const outFolder = path.resolve(args.out);
  const profileFolder = args.profile ? path.join(outFolder, 'profiles') : undefined;
  return withProcesses(profileFolder, async (group) => {
    requirePrograms([programs.bench, programs.daemon, programs.storeStandIn]);
    mkdirSync(outFolder, { recursive: true });
    const outcome = await scenario({
      deployment,
      policies: readPolicies(args.policies ?? examples),
      seed: args.seed,
      outFolder,
      disabledMechanisms: args.without,
      withBaseline: args.baseline,
      timelineSampleRatio: args.timelineSampleRatio,
      programs,
      group,
      report,
    });
    const reportFile = path.join(outFolder, 'report.json');
    writeFileSync(reportFile, `${JSON.stringify(outcome.report, null, 2)}\n`);
    print(outcome.table);
    print(`report: ${reportFile}`);
  });
}

async function run(args: RunArguments, buildFolder: string): Promise<number> {
  if (args.list) {
    printScenarios();
    return EXIT_OK;
  }
  const scenario = scenarioNamed(args.scenario ?? '');
  if (scenario === undefined) {
    report(`unknown scenario '${args.scenario ?? ''}'; --list names all`);
    return EXIT_USAGE;
  }
  return runScenario(scenario, args, buildFolder);
}

/** Runs the command line of the measurement tool and returns the exit code. */
export async function runCommandLine(
  words: readonly string[],
  buildFolder: string,
): Promise<number> {
  let exitCode: number = EXIT_OK;
  await yargs(words)
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
            describe: 'mechanisms that the daemons switch off',
          })
          .option('baseline', {
            type: 'boolean',
            default: true,
            describe: 'measure the baseline as well; --no-baseline leaves it out',
          })
          .option('policies', { type: 'string', describe: 'folder with the policies to apply' })
          .option('profile', {
            type: 'boolean',
            default: false,
            describe: 'write a processor profile of each started process',
          })
          .option('list', { type: 'boolean', default: false, describe: 'list the scenarios' }),
      async (args) => {
        exitCode = await run(
          {
            ...args,
            scenario: args.scenario,
            policies: args.policies,
            timelineSampleRatio: SAMPLE_RATIO,
          },
          buildFolder,
        );
      },
    )
    .command(
      'demo',
      'Shows the whole path on a small deployment',
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
            timelineSampleRatio: DEMO_SAMPLE_RATIO,
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
