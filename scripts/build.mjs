import { existsSync } from 'node:fs';
import { build } from 'esbuild';

// Each executable is one bundled file in dist/.
const executables = {
  daisyferryd: 'packages/daemon/src/main.ts',
  daisyferry: 'packages/cli/src/main.ts',
  'daisyferry-timeline': 'packages/timeline/src/main.ts',
  'daisyferry-bench': 'packages/bench/src/main.ts',
  'daisyferry-store-stand-in': 'packages/store/src/stand-in/main.ts',
};

const entryPoints = Object.fromEntries(
  Object.entries(executables).filter(([, source]) => existsSync(source)),
);

await build({
  entryPoints,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  sourcemap: 'linked',
  logLevel: 'warning',
  loader: { '.html': 'text', '.css': 'text' },
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});
