import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from './fleet.mjs';
import { Record } from './record.mjs';

/** Limit on the duration of a script. */
const MAX_SCRIPT_MS = 110_000;
/** Exit codes, which `run.sh` translates: Node.js exits with 1 by itself. */
const EXIT_HELD = 0;
const EXIT_BROKEN = 10;
const EXIT_COULD_NOT_RUN = 2;

/**
 * Runs a case and writes its record to the file that the first argument names. `run` returns a text
 * for each breach of the rule, an empty list if it held.
 */
export async function runCase(run) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = new Record(process.argv[2] ?? 'record.txt');
  record.line(hasTrouble ? 'with the disruption' : 'without the disruption');
  const fleet = new Fleet(record);
  // Also where the script fails or is ended: no daemon outlives it.
  process.on('exit', () => fleet.killDaemons());
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.on(signal, () => process.exit(EXIT_COULD_NOT_RUN));
  let exitCode = EXIT_COULD_NOT_RUN;
  const watchdog = sleep(MAX_SCRIPT_MS, undefined, { ref: false }).then(() => {
    throw new Error('the script takes too long');
  });
  try {
    const breaches = await Promise.race([run(fleet, record, hasTrouble), watchdog]);
    for (const breach of breaches) record.line(`BROKEN: ${breach}`);
    if (breaches.length === 0) record.line('the rule held');
    exitCode = breaches.length === 0 ? EXIT_HELD : EXIT_BROKEN;
  } catch (error) {
    record.line(`could not run: ${error.message}`);
  }
  await fleet.stop();
  process.exit(exitCode);
}
