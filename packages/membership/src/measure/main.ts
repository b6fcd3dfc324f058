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

/** Starts this program again, under the same loader, as one of the two processes. */
const startProcess: StartScaleProcess = (order) => {
  const [, program = ''] = process.argv;
  const words = [...process.execArgv, program, 'process', JSON.stringify(order)];
  return spawn(process.execPath, words, { stdio: ['ignore', 'pipe', 'inherit'] });
};

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

await yargs(hideBin(process.argv))
  .scriptName('measure-membership')
  .command(
    'scale',
    'Measures what control costs one daemon in a fleet',
    (command) =>
      command
        .option('members', { type: 'number', default: FULL_MEMBERS })
        .option('policies', { type: 'number', default: FULL_POLICIES })
        .option('duration-ms', { type: 'number', default: DURATION_MS })
        .option('seed', { type: 'number', default: 1 }),
    async ({ members, policies, durationMs, seed }) =>
      print(await measureScale(scalePlan(members, policies, durationMs, seed), startProcess)),
  )
  .command(
    'mass-event <event>',
    'Measures how one daemon of 18,000 takes the loss or the return of many',
    (command) =>
      command
        .positional('event', { choices: Object.values(MassEvent), demandOption: true })
        .option('seed', { type: 'number', default: 1 }),
    ({ event, seed }) => print(measureMassEvent(event, seed)),
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
