import type { Argv } from 'yargs';
import type { CommandContext, CommonOptions } from './command-context';
import { CliInputError } from './cli-input-error';

const DEFAULT_ADMIN = 'http://127.0.0.1:7400';
const DEFAULT_TIMEOUT_MS = 10_000;

/** Environment variables, some of which provide option defaults. */
export type EnvironmentVariables = Readonly<Record<string, string | undefined>>;

function requireWholeNumber(option: string, value: number, minimum: number): number {
  if (Number.isSafeInteger(value) && value >= minimum) return value;
  throw new CliInputError(
    `--${option}: found ${value}: expected a whole number of at least ${minimum}`,
  );
}

/** Describes an option without a default whose value is a whole number of at least `minimum`. */
export function optionalWholeNumber(option: string, describe: string, minimum = 0) {
  const coerce = (value: number | undefined) =>
    value === undefined ? undefined : requireWholeNumber(option, value, minimum);
  return { type: 'number', describe, coerce } as const;
}

/** Describes an option with a default whose value is a whole number of at least 1. */
export function positiveWholeNumberWithDefault(
  option: string,
  describe: string,
  defaultValue: number,
) {
  const coerce = (value: number) => requireWholeNumber(option, value, 1);
  return { type: 'number', describe, default: defaultValue, coerce } as const;
}

/** Adds the options shared by all commands. */
export function addCommonOptions(parser: Argv, variables: EnvironmentVariables) {
  return parser
    .option('admin', {
      type: 'string',
      default: variables['DAISYFERRY_ADMIN'] ?? DEFAULT_ADMIN,
      describe: "URL of a daemon's administration listener",
    })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .option(
      'timeout-ms',
      positiveWholeNumberWithDefault(
        'timeout-ms',
        'Longest wait for the daemon, in ms',
        DEFAULT_TIMEOUT_MS,
      ),
    )
    .option('ca', {
      type: 'string',
      default: variables['DAISYFERRY_CA'],
      describe: 'CA certificate file (PEM) for TLS',
    })
    .option('cert', {
      type: 'string',
      default: variables['DAISYFERRY_CERT'],
      describe: 'Client certificate file (PEM) for TLS',
    })
    .option('key', {
      type: 'string',
      default: variables['DAISYFERRY_KEY'],
      describe: 'Client key file (PEM) for TLS',
    });
}

export type CommonParser = ReturnType<typeof addCommonOptions>;

/** Runs one command with the options shared by all commands. */
export type RunCommand = (
  options: CommonOptions,
  command: (context: CommandContext) => void | Promise<void>,
) => Promise<void>;
