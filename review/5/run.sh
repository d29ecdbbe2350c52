#!/usr/bin/env bash
# Runs the case of claim.txt and writes record.txt. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
program=target/review/case_5
[ -x "$program" ] && [ -x target/basilreachd ] || exit 2
"$program" review/5 &
pid=$!
trap 'kill "$pid" 2> /dev/null' INT TERM
wait "$pid"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
