#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/lagoonhill-platform ] || exit 2
exec target/review/standins orphaned review/5
