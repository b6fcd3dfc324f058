import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Fleet } from './fleet.mjs';
import { Record } from './record.mjs';

/** Limit on the duration of a script. */
const MAX_SCRIPT_MS = 110_000;

/**
 * Runs a case. `run` returns a text for each breach of the rule, an empty list if it held. Exits
 * with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
export async function runCase(folderUrl, run) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = new Record(fileURLToPath(new URL('.', folderUrl)));
  record.line(hasTrouble ? 'with the disruption' : 'without the disruption');
  const fleet = new Fleet(record);
  let exitCode = 2;
  const watchdog = sleep(MAX_SCRIPT_MS, undefined, { ref: false }).then(() => {
    throw new Error('the script takes too long');
  });
  try {
    const breaches = await Promise.race([run(fleet, record, hasTrouble), watchdog]);
    for (const breach of breaches) record.line(`BROKEN: ${breach}`);
    if (breaches.length === 0) record.line('the rule held');
    exitCode = breaches.length === 0 ? 0 : 1;
  } catch (error) {
    record.line(`could not run: ${error.stack ?? error}`);
  }
  await fleet.stop();
  await record.close();
  process.exit(exitCode);
}
