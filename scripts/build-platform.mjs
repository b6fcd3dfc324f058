import { build } from 'esbuild';

// The daemon for the users' platform is one bundled file in target/.
await build({
  entryPoints: { 'daisyferry-sidecar': 'platform/src/main.ts' },
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  logLevel: 'warning',
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});
