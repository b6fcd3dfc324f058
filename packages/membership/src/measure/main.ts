import { spawn } from 'node:child_process';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureMassEvent } from './mass-event';
import { MassEvent } from './mass-event-plan';
import { scalePlan } from './scale-plan';
import type { ScaleProcessOptions, StartScaleProcess } from './scale-run';
import { measureScale, runScaleProcess } from './scale-run';

const FULL_MEMBERS = 18_000;
const FULL_POLICIES = 650;
const DURATION_MS = 60_000;

/** Starts this program with the same loader as one of the two processes of a measurement. */
const startProcess: StartScaleProcess = (options) => {
  const [, program = ''] = process.argv;
  const args = [...process.execArgv, program, 'process', JSON.stringify(options)];
  return spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
};

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

await yargs(hideBin(process.argv))
  .scriptName('measure-membership')
  .command(
    'scale',
    'Measures the control overhead of one daemon in a fleet',
    (command) =>
      command
        .option('members', { type: 'number', default: FULL_MEMBERS })
        .option('policies', { type: 'number', default: FULL_POLICIES })
        .option('duration-ms', { type: 'number', default: DURATION_MS })
        .option('seed', { type: 'number', default: 1 }),
    async ({ members, policies, durationMs, seed }) =>
      printJson(await measureScale(scalePlan(members, policies, durationMs, seed), startProcess)),
  )
  .command(
    'mass-event <event>',
    'Measures how one of 18,000 daemons learns of a mass failure or recovery',
    (command) =>
      command
        .positional('event', { choices: Object.values(MassEvent), demandOption: true })
        .option('seed', { type: 'number', default: 1 }),
    ({ event, seed }) => printJson(measureMassEvent(event, seed)),
  )
  .command(
    'process <order>',
    false,
    (command) => command.positional('order', { type: 'string', demandOption: true }),
    async ({ order }) => runScaleProcess(JSON.parse(order) as ScaleProcessOptions),
  )
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
