#!/usr/bin/env bash
# Runs the case and writes what was sent, answered and run to record.txt in this folder. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
record=record.txt
printf 'case %s, TROUBLE=%s\n' "$(basename "$PWD")" "${TROUBLE:-1}" > "$record" || exit 2
node main.mjs "$record" &
pid=$!
trap 'kill -TERM "$pid"' TERM INT
wait "$pid"
code=$?
# Node.js itself exits with 1 if it fails, so that the case reports a breach by another code.
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) echo "could not run: exit code $code" >> "$record"; exit 2 ;;
esac
