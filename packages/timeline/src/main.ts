import { readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'undici';
import { hideBin } from 'yargs/helpers';
import { runCommandLine } from './command-line';
import type { TlsOptions } from './environment';
import { InputError } from './input-error';

function readFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new InputError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
}

function connect({ ca, cert, key }: TlsOptions): Agent {
  const files = Object.entries({ ca, cert, key }).flatMap(([name, file]) =>
    file === undefined ? [] : [[name, readFile(file)] as const],
  );
  return new Agent({ connect: Object.fromEntries(files) });
}

const stopped = new AbortController();
process.once('SIGINT', () => stopped.abort());
process.once('SIGTERM', () => stopped.abort());

process.exitCode = await runCommandLine(hideBin(process.argv), {
  scheduler: {
    nowMs: () => performance.now(),
    after: (delayMs, action) => {
      const timer = setTimeout(action, delayMs);
      return { cancel: () => clearTimeout(timer) };
    },
  },
  variables: process.env,
  stop: stopped.signal,
  readFile,
  writeFile: (file, text) => writeFileSync(file, text),
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  connect,
});
