import { loadDaemonSettings } from '@daisyferry/settings/load-settings';
import { formatProblem } from '@daisyferry/settings/check-document';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { RunningDaemon } from './running-daemon';
import { startDaemon } from './start-daemon';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

function exitWithErrors(lines: readonly string[], exitCode: number): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(exitCode);
}

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('daisyferryd')
    .usage('$0 --settings FILE\n\nRuns the daemon beside one target instance.')
    .option('settings', {
      type: 'string',
      demandOption: true,
      describe: 'JSON file with the settings of this daemon',
    })
    .strict()
    .help()
    .parse();
  const settings = loadDaemonSettings(args.settings);
  if (!settings.ok) exitWithErrors(settings.problems.map(formatProblem), EXIT_BAD_SETTINGS);
  let running: RunningDaemon | undefined;
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    if (running === undefined) process.exit(0);
    running.stop().then(
      () => process.exit(0),
      (error: unknown) => exitWithErrors([String(error)], EXIT_FAILED),
    );
  };
  running = await startDaemon(settings.value, stop);
  process.stdout.write(`${JSON.stringify({ listening: running.ports })}\n`);
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

main().catch((error: unknown) => exitWithErrors([String(error)], EXIT_FAILED));
