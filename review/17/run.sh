#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-4.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-4/harness ] && [ -x target/release/acaciareeld ] || exit 2
exec target/review-4/harness kept review/17/record.txt
