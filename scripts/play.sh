#!/usr/bin/env bash
# Installs dependencies, builds, and runs the load test: real daemons with stand-ins for the
# users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
node scripts/build-platform.mjs --play
exec node target/daisyferry-play.mjs "$@"
