#!/usr/bin/env bash
# Runs every check in order: format, lint, types, generated code, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
export PATH="$PWD/node_modules/.bin:$PATH"
prettier --check --log-level warn .
eslint --max-warnings 0 --cache --cache-location node_modules/.cache/eslint/ .
tsc -p tsconfig.json
node scripts/generate.mjs --check
node scripts/build.mjs
vitest run --reporter=default --reporter=json --outputFile.json=results/vitest.json
node scripts/verdict.mjs
