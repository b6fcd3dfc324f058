import type { Argv } from 'yargs';
import type { CommandContext, CommonOptions } from './command-context';
import { InputError } from './input-error';

const DEFAULT_ADMIN = 'http://127.0.0.1:7400';
const DEFAULT_TIMEOUT_MS = 10_000;

/** Environment variables that stand in for options. */
export type Variables = Readonly<Record<string, string | undefined>>;

function checkWholeNumber(option: string, value: number, least: number): number {
  if (Number.isSafeInteger(value) && value >= least) return value;
  throw new InputError(`--${option}: found ${value}: expected a whole number from ${least} up`);
}

/** Describes an option that may be left out and takes a whole number from `least` up. */
export function wholeNumber(option: string, describe: string, least = 0) {
  const coerce = (value: number | undefined) =>
    value === undefined ? undefined : checkWholeNumber(option, value, least);
  return { type: 'number', describe, coerce } as const;
}

/** Describes an option that takes a whole number from 1 up and has a default. */
export function countWithDefault(option: string, describe: string, fallback: number) {
  const coerce = (value: number) => checkWholeNumber(option, value, 1);
  return { type: 'number', describe, default: fallback, coerce } as const;
}

/** Adds the options that every command takes. */
export function withCommonOptions(parser: Argv, variables: Variables) {
  return parser
    .option('admin', {
      type: 'string',
      default: variables['DAISYFERRY_ADMIN'] ?? DEFAULT_ADMIN,
      describe: "URL of a daemon's administration listener",
    })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .option(
      'timeout-ms',
      countWithDefault('timeout-ms', 'Longest wait for the daemon, in ms', DEFAULT_TIMEOUT_MS),
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

export type CommonParser = ReturnType<typeof withCommonOptions>;

/** Runs one command with the options that every command takes. */
export type RunCommand = (
  options: CommonOptions,
  command: (context: CommandContext) => void | Promise<void>,
) => Promise<void>;
