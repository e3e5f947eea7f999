#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
[ -x target/review-2/stand-ins ] && [ -x target/release/anvillift-platform ] || exit 2
exec target/review-2/stand-ins case drain review/10
