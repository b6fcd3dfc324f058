import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Record } from './record.mjs';

export const RULE_BROKEN = 1;
export const RULE_HELD = 0;
export const NOT_RUN = 2;
const LONGEST_MS = 110_000;

/** False if the case has to run without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A loopback network that no other run uses: the first two octets after 127. */
export function loopbackNetwork() {
  return `127.${50 + (process.pid % 150)}.${1 + (Math.floor(process.pid / 150) % 250)}`;
}

/** Ports that are free at the address at this moment. */
export async function freePorts(ip, names) {
  const servers = await Promise.all(
    names.map(
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, ip, () => resolve(server));
        }),
    ),
  );
  const ports = Object.fromEntries(
    names.map((name, index) => [name, servers[index].address().port]),
  );
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/**
 * Runs a case: `run` gets the record, a temporary folder and a list to which it adds what has to be
 * ended, and returns the exit code. Ends all of it, writes the record, and exits.
 */
export async function runCase(folder, run) {
  const record = new Record(path.join(folder, 'record.txt'));
  const temporary = mkdtempSync(path.join(tmpdir(), 'daisyferry-review-'));
  const ends = [];
  let code = NOT_RUN;
  const finish = async () => {
    for (const end of ends.reverse()) await Promise.resolve(end()).catch(() => undefined);
    record.add('exit', { code });
    record.write();
    if (process.env.KEEP_LOGS === undefined) rmSync(temporary, { recursive: true, force: true });
    else process.stderr.write(`logs: ${temporary}\n`);
    process.stdout.write(`exit ${code}\n`);
    process.exit(code);
  };
  const timer = setTimeout(() => {
    record.add('time-over');
    finish();
  }, LONGEST_MS);
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, finish);
  try {
    code = await run({ record, temporary, ends });
  } catch (error) {
    record.add('not-run', { error: String(error?.stack ?? error).replaceAll('\n', ' | ') });
    process.stderr.write(`${String(error?.stack ?? error)}\n`);
    code = NOT_RUN;
  }
  clearTimeout(timer);
  await finish();
}
