#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start: the project's own stand-in of the store.
# The stand-ins of callers and targets are plain JavaScript in review/lib/ and in the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/src/stand-in/stand-in-kv-store.ts --bundle --platform=node \
  --target=node20 --format=esm --outfile=review/dist/store.mjs --log-level=warning
