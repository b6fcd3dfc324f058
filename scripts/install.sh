#!/usr/bin/env bash
# Installs the locked dependencies unless the installed ones already match the lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=node_modules/.daisyferry-lock
if [ ! -f "$stamp" ] || ! cmp -s package-lock.json "$stamp"; then
  npm ci --ignore-scripts --no-audit --no-fund --loglevel=error
  cp package-lock.json "$stamp"
fi
