#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, with 0 if it held and
# with 2 if the case could not run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/comfreyfront ] && [ -x target/review/2 ] || exit 2
exec target/review/2 review/2
