#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/lagoonhill-platform target/review-2/cases; do
  [ -x "$program" ] || { echo "$program is missing: build deploy/system.toml, then review/build-2.sh"; exit 2; }
done
exec timeout --signal=KILL 115 target/review-2/cases attempts "$here"
