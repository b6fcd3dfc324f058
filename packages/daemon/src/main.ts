import { loadDaemonSettings } from '@daisyferry/settings/load-settings';
import { problemText } from '@daisyferry/settings/check-settings';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { startDaemon } from './start-daemon';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

function fail(lines: readonly string[], exitCode: number): never {
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
  if (!settings.ok) fail(settings.problems.map(problemText), EXIT_BAD_SETTINGS);
  const daemon = await startDaemon(settings.value);
  process.stdout.write(`${JSON.stringify({ listening: daemon.ports })}\n`);
  let stopping = false;
  const stop = () => {
    if (stopping) return;
    stopping = true;
    daemon.stop().then(
      () => process.exit(0),
      (error: unknown) => fail([String(error)], EXIT_FAILED),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

main().catch((error: unknown) => fail([String(error)], EXIT_FAILED));
