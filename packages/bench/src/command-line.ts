import path from 'node:path';
import yargs from 'yargs';
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
const EXIT_INTERRUPTED = 130;

interface RunArguments {
  readonly deployment: string;
  readonly scenario: string | undefined;
  readonly seed: number;
  readonly out: string;
  readonly without: readonly string[];
  readonly baseline: boolean;
  readonly policies: string | undefined;
  readonly list: boolean;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function report(line: string): void {
  process.stderr.write(`${line}\n`);
}

function printScenarios(): void {
  const rows = LOAD_SCENARIOS.map(({ name, summary }) => [name, summary]);
  print(tableText([['scenario', 'what happens'], ...rows]));
}

/** Ends all started processes whatever happens, also on an interrupt from the terminal. */
async function withProcesses(work: (group: ProcessGroup) => Promise<void>): Promise<number> {
  const group = new ProcessGroup();
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

async function run(args: RunArguments, buildFolder: string): Promise<number> {
  if (args.list) {
    printScenarios();
    return EXIT_OK;
  }
  const deployment = DEPLOYMENTS[args.deployment];
  const scenario = loadScenario(args.scenario ?? '');
  if (deployment === undefined || scenario === undefined) {
    report(`unknown scenario '${args.scenario ?? ''}'; --list names all`);
    return EXIT_FAILED;
  }
  const programs = programsIn(buildFolder);
  requirePrograms([programs.bench, programs.daemon, programs.storeStandIn]);
  const examples = path.join(buildFolder, '..', 'examples', deployment.name, 'policies');
  return withProcesses(async (group) => {
    const loadReport = await runLoadScenario(
      {
        deployment,
        scenario,
        seed: args.seed,
        outFolder: path.resolve(args.out),
        policyFolder: args.policies ?? examples,
        disabledMechanisms: args.without,
        withBaseline: args.baseline,
        timelineSampleRatio: 0.01,
      },
      { programs, group, report },
      pageAssets,
    );
    print(reportTable(loadReport));
    print(`report: ${path.resolve(args.out, 'report.html')}`);
  });
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
          .option('list', { type: 'boolean', default: false, describe: 'list the scenarios' }),
      async (args) => {
        exitCode = await run(
          { ...args, scenario: args.scenario, policies: args.policies },
          buildFolder,
        );
      },
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
