#!/usr/bin/env bash
# Installs dependencies and tries inputs at a boundary of the daemon: BOUNDARY [--seed N] [--minutes M].
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
exec node --import tsx platform/src/stand-in/fuzz/fuzz-main.ts "$@"
