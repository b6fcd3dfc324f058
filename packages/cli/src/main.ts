import { randomUUID } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { hideBin } from 'yargs/helpers';
import { connectAdmin } from './admin-connection';
import { runCli } from './command-line';
import { CliInputError } from './cli-input-error';

const STANDARD_INPUT = 0;

function readFile(file: string): string {
  try {
    return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new CliInputError(`${file}: ${detail}`);
  }
}

async function readMetrics(address: string, timeoutMs: number): Promise<string | undefined> {
  try {
    const signal = AbortSignal.timeout(timeoutMs);
    const response = await fetch(`http://${address}/metrics`, { signal });
    return response.ok ? await response.text() : undefined;
  } catch {
    return undefined;
  }
}

process.exitCode = await runCli(hideBin(process.argv), {
  connect: connectAdmin,
  readMetrics,
  readFile,
  writeFile: (file, text) => writeFileSync(file, text),
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  newOperationId: () => randomUUID(),
  userName: userInfo().username,
  variables: process.env,
});
