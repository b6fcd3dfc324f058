import yargs from 'yargs';
import { runCollect } from './collect-command';
import { withOutputOptions, wholeNumber } from './command-options';
import type { TimelineEnvironment } from './environment';
import { ExitCode, type ExitCodeNumber } from './exit-code';
import { InputError } from './input-error';
import { TimelineFormat } from './render';
import { runShow } from './show-command';

const HELP_COLUMNS = 100;
const DEFAULT_ADMIN = 'http://127.0.0.1:7400';
const DEFAULT_INTERVAL_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_EVENTS = 1_000_000;

const EPILOGUE = `Exit codes: 0 done, 1 internal error, 2 wrong input, 5 no daemon answers.
TLS files may come from DAISYFERRY_CA, DAISYFERRY_CERT and DAISYFERRY_KEY.`;

/** The parser reports wrong arguments without an error, or with one of its own. */
function isParserError(error: Error | undefined): boolean {
  return error === undefined || error.name === 'YError';
}

function buildParser(environment: TimelineEnvironment, done: (code: ExitCodeNumber) => void) {
  const { variables } = environment;
  return yargs([])
    .scriptName('daisyferry-timeline')
    .usage('$0 <command>\n\nGathers the events of daemons on one time line.')
    .exitProcess(false)
    .showHelpOnFail(false)
    .strict()
    .demandCommand(1, 'a command is needed; --help lists them')
    .wrap(HELP_COLUMNS)
    .fail((message, error) => {
      throw isParserError(error) ? new InputError(message) : error;
    })
    .command(
      'collect',
      'Read the events of daemons',
      (parser) =>
        withOutputOptions(parser, TimelineFormat.jsonl)
          .option('admin', {
            type: 'string',
            array: true,
            default: [variables['DAISYFERRY_ADMIN'] ?? DEFAULT_ADMIN],
            describe: "URL of a daemon's administration listener; may be repeated",
          })
          .option('for-ms', wholeNumber('for-ms', 'Go on reading for this time', 0, 0))
          .option(
            'interval-ms',
            wholeNumber('interval-ms', 'Time between readings', DEFAULT_INTERVAL_MS, 1),
          )
          .option(
            'timeout-ms',
            wholeNumber('timeout-ms', 'Longest wait for a daemon', DEFAULT_TIMEOUT_MS, 1),
          )
          .option(
            'max-events',
            wholeNumber('max-events', 'Most events kept', DEFAULT_MAX_EVENTS, 1),
          )
          .option('ca', { type: 'string', default: variables['DAISYFERRY_CA'] })
          .option('cert', { type: 'string', default: variables['DAISYFERRY_CERT'] })
          .option('key', { type: 'string', default: variables['DAISYFERRY_KEY'] }),
      async (args) => {
        const { from: fromMs, to: toMs, root, ca, cert, key } = args;
        const options = { ...args, selection: { root, fromMs, toMs }, tls: { ca, cert, key } };
        done(await runCollect({ ...options, out: args.out }, environment));
      },
    )
    .command(
      'show <files..>',
      'Show events that were collected',
      (parser) =>
        withOutputOptions(parser, TimelineFormat.text).positional('files', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'Files of JSON lines',
        }),
      ({ files, out, format, root, from: fromMs, to: toMs }) => {
        runShow({ files, out, format, selection: { root, fromMs, toMs } }, environment);
      },
    )
    .epilogue(EPILOGUE)
    .version(false);
}

/** Runs the command line and returns the exit code. */
export async function runCommandLine(
  args: readonly string[],
  environment: TimelineEnvironment,
): Promise<ExitCodeNumber> {
  let exitCode: ExitCodeNumber = ExitCode.ok;
  const parser = buildParser(environment, (code) => {
    exitCode = code;
  });
  try {
    await parser.parseAsync([...args], {}, (_error, _argv, output) => {
      if (output !== '') environment.writeOutput(`${output}\n`);
    });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    environment.writeError(`daisyferry-timeline: ${message}\n`);
    return error instanceof InputError ? ExitCode.badInput : ExitCode.internal;
  }
  return exitCode;
}
