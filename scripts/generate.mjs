import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, rmSync, existsSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

// Each generator writes one committed file or folder; --check regenerates elsewhere and compares.
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

const check = process.argv.includes('--check');

function filesBelow(folder) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => path.relative(folder, path.join(entry.parentPath, entry.name)))
    .sort();
}

function differences(committed, fresh, handWritten) {
  if (!existsSync(committed)) return [committed];
  const names = new Set([...filesBelow(committed), ...filesBelow(fresh)]);
  for (const name of handWritten) names.delete(name);
  return [...names].filter((name) => {
    const left = path.join(committed, name);
    const right = path.join(fresh, name);
    if (!existsSync(left) || !existsSync(right)) return true;
    return readFileSync(left, 'utf8') !== readFileSync(right, 'utf8');
  });
}

// The generators stand in node_modules; buf finds its plugin by the path, too.
const binaries = path.resolve('node_modules/.bin');
const env = { ...process.env, PATH: [binaries, process.env.PATH].join(path.delimiter) };

let stale = 0;
for (const { name, output, command, handWritten = [] } of generators) {
  const target = check ? mkdtempSync(path.join(tmpdir(), 'daisyferry-generate-')) : output;
  const [program, ...args] = command(target);
  execFileSync(program, args, { stdio: 'inherit', env });
  if (check) {
    for (const file of differences(output, target, handWritten)) {
      console.error(`generated code is stale: ${name}: ${file}`);
      stale += 1;
    }
    rmSync(target, { recursive: true });
  }
}
process.exit(stale === 0 ? 0 : 1);
