import yargs from 'yargs';
import { CommandContext } from './command-context';
import {
  withCommonOptions,
  type CommonParser,
  type RunCommand,
  type Variables,
} from './common-options';
import { addFleetCommands } from './fleet-commands';
import type { CliEnvironment } from './environment';
import { ExitCode } from './exit-code';
import { failureOf } from './failure';
import { InputError } from './input-error';
import { addLogCommands } from './log-commands';
import { addPolicyCommands } from './policy-commands';
import { addSettingsCommands } from './settings-commands';

const HELP_COLUMNS = 100;

const EPILOGUE = `Exit codes: 0 done, 1 internal error, 2 wrong input, 3 refused, 4 undecided,
5 no daemon answers, 6 not found. Options may come from the environment:
DAISYFERRY_ADMIN, DAISYFERRY_CA, DAISYFERRY_CERT, DAISYFERRY_KEY.`;

/** Arguments that may be given more than once. */
const REPEATABLE: ReadonlySet<string> = new Set(['_', 'files']);

function checkGivenOnce(args: Readonly<Record<string, unknown>>): true {
  for (const [name, value] of Object.entries(args)) {
    if (Array.isArray(value) && !REPEATABLE.has(name)) {
      throw new InputError(`--${name}: given more than once`);
    }
  }
  return true;
}

/** The parser reports wrong arguments without an error, or with one of its own. */
function isParserError(error: Error | undefined): boolean {
  return error === undefined || error.name === 'YError';
}

function buildParser(args: readonly string[], variables: Variables, run: RunCommand): CommonParser {
  const base = yargs([...args])
    .scriptName('daisyferry')
    .usage('$0 <command>\n\nAdministers a daisyferry cluster through any of its daemons.')
    .check(checkGivenOnce)
    .exitProcess(false)
    .showHelpOnFail(false)
    .strict()
    .demandCommand(1, 'a command is needed; --help lists them')
    .recommendCommands()
    .wrap(HELP_COLUMNS)
    .fail((message, error) => {
      throw isParserError(error) ? new InputError(message) : error;
    });
  const parser = withCommonOptions(base, variables);
  addPolicyCommands(parser, run);
  addFleetCommands(parser, run);
  addSettingsCommands(parser, run);
  addLogCommands(parser, run);
  return parser
    .completion('completion', 'Print a script for shell completion')
    .epilogue(EPILOGUE)
    .version(false);
}

/** Runs the command line and returns the exit code. */
export async function runCommandLine(
  args: readonly string[],
  environment: CliEnvironment,
): Promise<number> {
  let exitCode: number = ExitCode.ok;
  const run: RunCommand = async (options, command) => {
    const context = new CommandContext(environment, options);
    await command(context);
    exitCode = context.exitCode;
  };
  try {
    await buildParser(args, environment.variables, run).parseAsync(
      [...args],
      {},
      (_error, _argv, output) => {
        if (output !== '') environment.writeOutput(`${output}\n`);
      },
    );
  } catch (error) {
    const failure = failureOf(error);
    environment.writeError(`daisyferry: ${failure.message}\n`);
    return failure.exitCode;
  }
  return exitCode;
}
