#!/bin/sh
# Runs the case. Needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/acaciareeld ] || [ ! -x target/review-2/harness ]; then
    echo "not built: run the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
PIDS=$(mktemp) || exit 2
export PIDS
# Only for a script that is ended from outside: the harness ends its processes itself.
stop() {
    kill -KILL "$harness" 2>/dev/null
    while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$PIDS"
    rm -rf "$PIDS" "${TMPDIR:-/tmp}/review-2-$harness"
    exit 2
}
trap stop INT TERM
target/review-2/harness hopeless_job review/7/record.txt &
harness=$!
wait "$harness"
code=$?
rm -f "$PIDS"
exit "$code"
