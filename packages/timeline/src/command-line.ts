import yargs from 'yargs';
import { runCollect } from './collect-command';
import { addOutputOptions, wholeNumberWithDefault } from './command-options';
import type { TimelineEnvironment } from './environment';
import { TimelineExitCode, type TimelineExitCodeNumber } from './exit-code';
import { TimelineFormat } from './render';
import { runShow } from './show-command';
import { TimelineInputError } from './timeline-input-error';

const HELP_COLUMNS = 100;
const DEFAULT_ADMIN = 'http://127.0.0.1:7400';
const DEFAULT_INTERVAL_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_EVENTS = 1_000_000;

const EPILOGUE = `Exit codes: 0 done, 1 internal error, 2 wrong input, 5 no daemon answers.
TLS files can be set with DAISYFERRY_CA, DAISYFERRY_CERT and DAISYFERRY_KEY.`;

/** For invalid arguments yargs passes no error, or an error named `YError`. */
function isParserError(error: Error | undefined): boolean {
  return error === undefined || error.name === 'YError';
}

function buildParser(
  environment: TimelineEnvironment,
  setExitCode: (code: TimelineExitCodeNumber) => void,
) {
  const { variables } = environment;
  return yargs([])
    .scriptName('daisyferry-timeline')
    .usage('$0 <command>\n\nMerges the events of daemons into one timeline.')
    .exitProcess(false)
    .showHelpOnFail(false)
    .strict()
    .demandCommand(1, 'a command is needed; --help lists them')
    .wrap(HELP_COLUMNS)
    .fail((message, error) => {
      throw isParserError(error) ? new TimelineInputError(message) : error;
    })
    .command(
      'collect',
      'Read the events of daemons',
      (parser) =>
        addOutputOptions(parser, TimelineFormat.jsonl)
          .option('admin', {
            type: 'string',
            array: true,
            default: [variables['DAISYFERRY_ADMIN'] ?? DEFAULT_ADMIN],
            describe: "URL of a daemon's administration listener; may be repeated",
          })
          .option(
            'for-ms',
            wholeNumberWithDefault('for-ms', 'Keep reading for this time, in ms', 0, 0),
          )
          .option(
            'interval-ms',
            wholeNumberWithDefault(
              'interval-ms',
              'Time between reads, in ms',
              DEFAULT_INTERVAL_MS,
              1,
            ),
          )
          .option(
            'timeout-ms',
            wholeNumberWithDefault(
              'timeout-ms',
              'Longest wait for a daemon, in ms',
              DEFAULT_TIMEOUT_MS,
              1,
            ),
          )
          .option(
            'max-events',
            wholeNumberWithDefault(
              'max-events',
              'Maximum number of events kept',
              DEFAULT_MAX_EVENTS,
              1,
            ),
          )
          .option('ca', { type: 'string', default: variables['DAISYFERRY_CA'] })
          .option('cert', { type: 'string', default: variables['DAISYFERRY_CERT'] })
          .option('key', { type: 'string', default: variables['DAISYFERRY_KEY'] }),
      async (args) => {
        const { from: fromMs, to: toMs, root, ca, cert, key } = args;
        const options = { ...args, selection: { root, fromMs, toMs }, tls: { ca, cert, key } };
        setExitCode(await runCollect({ ...options, out: args.out }, environment));
      },
    )
    .command(
      'show <files..>',
      'Show collected events',
      (parser) =>
        addOutputOptions(parser, TimelineFormat.text).positional('files', {
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

/** Parses the arguments, runs the command and returns the exit code. */
export async function runTimelineCli(
  args: readonly string[],
  environment: TimelineEnvironment,
): Promise<TimelineExitCodeNumber> {
  let exitCode: TimelineExitCodeNumber = TimelineExitCode.ok;
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
    return error instanceof TimelineInputError
      ? TimelineExitCode.badInput
      : TimelineExitCode.internal;
  }
  return exitCode;
}
