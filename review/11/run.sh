#!/bin/sh
# Plays the case `planned-replacement`: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# Needs the build of the deploy file and of review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/release/acaciareeld ] || exit 2
exec target/review-3/harness planned-replacement review/11/record.txt
