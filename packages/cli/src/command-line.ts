import yargs from 'yargs';
import { CliInputError } from './cli-input-error';
import { CommandContext } from './command-context';
import { toCommandFailure } from './command-failure';
import {
  addCommonOptions,
  type CommonParser,
  type RunCommand,
  type EnvironmentVariables,
} from './common-options';
import type { CliEnvironment } from './environment';
import { CliExitCode } from './exit-code';
import { addFleetCommands } from './fleet-commands';
import { addLogCommands } from './log-commands';
import { addPolicyCommands } from './policy-commands';
import { addSettingsCommands } from './settings-commands';

const HELP_COLUMNS = 100;

const EPILOGUE = `Exit codes: 0 done, 1 internal error, 2 wrong input, 3 refused, 4 undecided,
5 no daemon answers, 6 not found. Options can be set in the environment:
DAISYFERRY_ADMIN, DAISYFERRY_CA, DAISYFERRY_CERT, DAISYFERRY_KEY.`;

/** Arguments that may be repeated. */
const REPEATABLE_ARGUMENTS: ReadonlySet<string> = new Set(['_', 'files', 'addresses']);

function rejectRepeatedOptions(args: Readonly<Record<string, unknown>>): true {
  for (const [name, value] of Object.entries(args)) {
    if (Array.isArray(value) && !REPEATABLE_ARGUMENTS.has(name)) {
      throw new CliInputError(`--${name}: given more than once`);
    }
  }
  return true;
}

/** For invalid arguments yargs passes no error, or an error named `YError`. */
function isParserError(error: Error | undefined): boolean {
  return error === undefined || error.name === 'YError';
}

function buildParser(
  args: readonly string[],
  variables: EnvironmentVariables,
  run: RunCommand,
): CommonParser {
  const base = yargs([...args])
    .scriptName('daisyferry')
    .usage('$0 <command>\n\nAdministers a daisyferry cluster through any of its daemons.')
    .check(rejectRepeatedOptions)
    .exitProcess(false)
    .showHelpOnFail(false)
    .strict()
    .demandCommand(1, 'a command is needed; --help lists them')
    .recommendCommands()
    .wrap(HELP_COLUMNS)
    .fail((message, error) => {
      throw isParserError(error) ? new CliInputError(message) : error;
    });
  const parser = addCommonOptions(base, variables);
  addPolicyCommands(parser, run);
  addFleetCommands(parser, run);
  addSettingsCommands(parser, run);
  addLogCommands(parser, run);
  return parser
    .completion('completion', 'Print a script for shell completion')
    .epilogue(EPILOGUE)
    .version(false);
}

/** Parses the arguments, runs the command and returns the exit code. */
export async function runCli(
  args: readonly string[],
  environment: CliEnvironment,
): Promise<number> {
  let exitCode: number = CliExitCode.ok;
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
    const failure = toCommandFailure(error);
    environment.writeError(`daisyferry: ${failure.message}\n`);
    return failure.exitCode;
  }
  return exitCode;
}
