import { readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'undici';
import { hideBin } from 'yargs/helpers';
import { runTimelineCli } from './command-line';
import type { TlsOptions } from './environment';
import { TimelineInputError } from './timeline-input-error';

function readFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new TimelineInputError(
      `${file}: ${error instanceof Error ? error.message : String(error)}`,
    );
  }
}

function createDispatcher({ ca, cert, key }: TlsOptions): Agent {
  const files = Object.entries({ ca, cert, key }).flatMap(([name, file]) =>
    file === undefined ? [] : [[name, readFile(file)] as const],
  );
  return new Agent({ connect: Object.fromEntries(files) });
}

const stopController = new AbortController();
process.once('SIGINT', () => stopController.abort());
process.once('SIGTERM', () => stopController.abort());

process.exitCode = await runTimelineCli(hideBin(process.argv), {
  scheduler: {
    nowMs: () => performance.now(),
    after: (delayMs, action) => {
      const timer = setTimeout(action, delayMs);
      return { cancel: () => clearTimeout(timer) };
    },
  },
  variables: process.env,
  stopSignal: stopController.signal,
  readFile,
  writeFile: (file, text) => writeFileSync(file, text),
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  createDispatcher,
});
