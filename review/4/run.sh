#!/usr/bin/env bash
# Plays case 4 against the real programs; needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/stand-ins-2/target/release/lupinledge-review-2
[ -x "$program" ] && [ -x target/field/lupinledge-hive ] || exit 2
exec "$program" case 4 review/4
