#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are plain modules that Node.js runs as they are, so
# that it only checks that each of them can be read. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
