#!/usr/bin/env bash
# Installs dependencies, builds, and runs the soak test: real daemons under load, with faults drawn
# from a seed.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
node scripts/build-platform.mjs --play
exec node target/daisyferry-soak.mjs "$@"
