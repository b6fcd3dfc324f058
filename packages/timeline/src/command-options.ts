import type { Argv } from 'yargs';
import { InputError } from './input-error';
import { TimelineFormat, type TimelineFormatName } from './render';

const FORMATS: readonly TimelineFormatName[] = Object.values(TimelineFormat);

/** Reads a time: ms since the epoch, or a date in ISO 8601. */
function timeOf(option: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const ms = /^\d+(\.\d+)?$/.test(value) ? Number(value) : Date.parse(value);
  if (Number.isFinite(ms)) return ms;
  throw new InputError(`--${option}: found '${value}': expected ms since the epoch or a date`);
}

/** Describes an option that takes a whole number from `least` up. */
export function wholeNumber(option: string, describe: string, fallback: number, least: number) {
  const coerce = (value: number) => {
    if (Number.isSafeInteger(value) && value >= least) return value;
    throw new InputError(`--${option}: found ${value}: expected a whole number from ${least} up`);
  };
  return { type: 'number', describe, default: fallback, coerce } as const;
}

/** Adds the options that choose events and their form. */
export function withOutputOptions<Options>(parser: Argv<Options>, format: TimelineFormatName) {
  return parser
    .option('out', { type: 'string', describe: 'File to write to; standard output when absent' })
    .option('format', { choices: FORMATS, default: format, describe: 'Form of the output' })
    .option('root', { type: 'string', describe: 'Only events of this root request' })
    .option('from', {
      type: 'string',
      describe: 'Only events from this time on (ms since the epoch, or ISO 8601)',
      coerce: (value: string | undefined) => timeOf('from', value),
    })
    .option('to', {
      type: 'string',
      describe: 'Only events up to this time',
      coerce: (value: string | undefined) => timeOf('to', value),
    });
}
