import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { hideBin } from 'yargs/helpers';
import { runBenchCli } from './bench-cli';

const buildFolder = path.dirname(fileURLToPath(import.meta.url));
process.exitCode = await runBenchCli(hideBin(process.argv), buildFolder);
