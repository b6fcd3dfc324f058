import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, rmSync, existsSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

// Each generator writes one committed file or folder. `--check` generates to a temporary folder and
// compares the result with the committed one.
const generators = [
  {
    name: 'administration API',
    output: 'packages/admin-api/src/gen',
    command: (target) => [
      'buf',
      'generate',
      'packages/admin-api',
      '--template',
      'packages/admin-api/buf.gen.yaml',
      '--output',
      target,
    ],
  },
  {
    name: 'reference pages',
    output: 'docs/reference',
    handWritten: ['external-names.txt'],
    command: (target) => [
      'tsx',
      'packages/cli/src/main.ts',
      'settings',
      'schema',
      '--output',
      path.join(target, 'daemon-settings.schema.json'),
    ],
  },
];

const isCheck = process.argv.includes('--check');

function listFiles(folder) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => path.relative(folder, path.join(entry.parentPath, entry.name)))
    .sort();
}

function changedFiles(committed, generated, handWritten) {
  if (!existsSync(committed)) return [committed];
  const names = new Set([...listFiles(committed), ...listFiles(generated)]);
  for (const name of handWritten) names.delete(name);
  return [...names].filter((name) => {
    const committedFile = path.join(committed, name);
    const generatedFile = path.join(generated, name);
    if (!existsSync(committedFile) || !existsSync(generatedFile)) return true;
    return readFileSync(committedFile, 'utf8') !== readFileSync(generatedFile, 'utf8');
  });
}

// The generators are installed in node_modules; buf looks up its plugin in PATH, too.
const binaries = path.resolve('node_modules/.bin');
const env = { ...process.env, PATH: [binaries, process.env.PATH].join(path.delimiter) };

let staleCount = 0;
for (const { name, output, command, handWritten = [] } of generators) {
  const target = isCheck ? mkdtempSync(path.join(tmpdir(), 'daisyferry-generate-')) : output;
  const [program, ...args] = command(target);
  execFileSync(program, args, { stdio: 'inherit', env });
  if (isCheck) {
    for (const file of changedFiles(output, target, handWritten)) {
      console.error(`generated code is stale: ${name}: ${file}`);
      staleCount += 1;
    }
    rmSync(target, { recursive: true });
  }
}
process.exit(staleCount === 0 ? 0 : 1);
