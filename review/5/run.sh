#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/standin target/release/vanillapick-relay; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
# The stand-in and the processes that it starts are a group of their own, which ends with this script.
set -m
target/review/standin switching_reply review/5 &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
