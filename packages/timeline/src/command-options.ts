import type { Argv } from 'yargs';
import { TimelineFormat, type TimelineFormatName } from './render';
import { TimelineInputError } from './timeline-input-error';

const FORMATS: readonly TimelineFormatName[] = Object.values(TimelineFormat);

/** Parses a time in ms since the epoch, or an ISO 8601 date. */
function parseTime(option: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const ms = /^\d+(\.\d+)?$/.test(value) ? Number(value) : Date.parse(value);
  if (Number.isFinite(ms)) return ms;
  throw new TimelineInputError(
    `--${option}: found '${value}': expected ms since the epoch or a date`,
  );
}

/** Describes an option with a default whose value is a whole number of at least `minimum`. */
export function wholeNumberWithDefault(
  option: string,
  describe: string,
  defaultValue: number,
  minimum: number,
) {
  const coerce = (value: number) => {
    if (Number.isSafeInteger(value) && value >= minimum) return value;
    throw new TimelineInputError(
      `--${option}: found ${value}: expected a whole number of at least ${minimum}`,
    );
  };
  return { type: 'number', describe, default: defaultValue, coerce } as const;
}

/** Adds the options that select events and the output format. */
export function addOutputOptions<Options>(
  parser: Argv<Options>,
  defaultFormat: TimelineFormatName,
) {
  return parser
    .option('out', { type: 'string', describe: 'File to write to; by default standard output' })
    .option('format', { choices: FORMATS, default: defaultFormat, describe: 'Output format' })
    .option('root', { type: 'string', describe: 'Only events of this root request' })
    .option('from', {
      type: 'string',
      describe: 'Only events from this time on (ms since the epoch, or ISO 8601)',
      coerce: (value: string | undefined) => parseTime('from', value),
    })
    .option('to', {
      type: 'string',
      describe: 'Only events up to this time',
      coerce: (value: string | undefined) => parseTime('to', value),
    });
}
