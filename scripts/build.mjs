import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';

// Bundles each executable into one file in dist/.
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

// Resolves `text:PACKAGE/FILE` imports to a file of a package as text.
const textFilesPlugin = {
  name: 'text-files',
  setup(pluginBuild) {
    pluginBuild.onResolve({ filter: /^text:/ }, ({ path: name }) => ({
      path: path.resolve('node_modules', name.slice('text:'.length)),
      namespace: 'text-file',
    }));
    pluginBuild.onLoad({ filter: /.*/, namespace: 'text-file' }, ({ path: file }) => ({
      contents: readFileSync(file, 'utf8'),
      loader: 'text',
    }));
  },
};

await build({
  plugins: [textFilesPlugin],
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
