import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

// Builds the daemon for the users' platform into target/: a loader, the program in one file, and
// the V8 code cache of the program. `--play` also builds the load test and the soak test;
// `--readable` does not minify names.
const includesLoadTests = process.argv.includes('--play');
const isReadable = process.argv.includes('--readable');
const WARM_UP_TIMEOUT_MS = 30_000;
const WARM_UP_PROGRAM = 'target/daisyferry-warm-up.mjs';
const CODE_CACHE_FILE = 'target/daisyferry-program.cache';

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  outdir: 'target',
  logLevel: 'warning',
};

// Replaces parts of libraries that a daemon never calls but would load at each start: WebAssembly
// histograms, their encoding in files, and logging from a worker thread.
const unusedModulesPlugin = {
  name: 'unused',
  setup(pluginBuild) {
    pluginBuild.onResolve({ filter: /^(\.\/wasm|thread-stream|worker_threads)$/ }, ({ path }) => ({
      path,
      namespace: 'unused',
    }));
    pluginBuild.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
      contents: 'module.exports = {};',
    }));
  },
};

await build({
  ...commonOptions,
  entryPoints: {
    'daisyferry-sidecar': 'platform/src/main.ts',
    'daisyferry-program': 'platform/src/program.ts',
  },
  plugins: [unusedModulesPlugin],
  alias: { 'hdr-histogram-js': 'hdr-histogram-js/dist/HistogramBuilder.js' },
  minify: !isReadable,
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
});

await build({
  ...commonOptions,
  entryPoints: {
    'daisyferry-warm-up': 'platform/src/stand-in/warm-up-main.ts',
    ...(includesLoadTests
      ? {
          'daisyferry-play': 'platform/src/stand-in/play-main.ts',
          'daisyferry-soak': 'platform/src/stand-in/soak-main.ts',
        }
      : {}),
  },
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});

// V8 rejects a code cache written with other flags, so the flags come from the deploy file.
const runCommand = /^run = "node (.*) \S+"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
rmSync(CODE_CACHE_FILE, { force: true });
const warmUp = spawnSync(
  process.execPath,
  [...(runCommand?.[1] ?? '').split(' '), WARM_UP_PROGRAM],
  {
    stdio: ['ignore', 'ignore', 'pipe'],
    timeout: WARM_UP_TIMEOUT_MS,
  },
);
if (warmUp.status !== 0) {
  console.warn(`no code cache was written, so daemons start more slowly: ${warmUp.stderr}`);
}
