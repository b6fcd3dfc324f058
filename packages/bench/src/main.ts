import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { hideBin } from 'yargs/helpers';
import { runCommandLine } from './command-line';

const buildFolder = path.dirname(fileURLToPath(import.meta.url));
process.exitCode = await runCommandLine(hideBin(process.argv), buildFolder);
