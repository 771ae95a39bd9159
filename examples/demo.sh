#!/usr/bin/env bash
# Runs a deployment of three failure domains on loopback: starts daemons and stand-in workers, applies
# the tables, submits requests of both users, moves a kind to another pool under load, shows the
# histograms and stops everything. Exits non-zero if a request is lost or runs twice, or if a process
# does not stop gracefully.
#
# Usage: examples/demo.sh [REQUESTS]   REQUESTS under load, 120 by default
set -euo pipefail
cd "$(dirname "$0")/.."

REQUESTS=${1:-120}
VMS="1 2 3 4 5 6 7 8"
DOMAINS="khomas-a khomas-b khomas-c"
GROUPS_OF_WORKERS="ledger ledger-new audit fit counter"
GIVE_UP_S=60

cargo build --locked --quiet --package acaciareeld --package acaciareel --bins --examples
BIN=${CARGO_TARGET_DIR:-$PWD/target}/debug
WORK=$(mktemp -d)
mkdir "$WORK/logs" "$WORK/answers"
declare -A DAEMONS=() WORKERS=()

cleanup() {
  for pid in "${DAEMONS[@]}" "${WORKERS[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# Repeats a command until it succeeds.
retry() {
  local end=$((SECONDS + GIVE_UP_S))
  until "$@" >"$WORK/retry.out" 2>&1; do
    [ $SECONDS -lt $end ] || { cat "$WORK/retry.out" >&2; fail "gave up: $*"; }
    sleep 0.1
  done
}

SERVERS=()
for vm in $VMS; do SERVERS+=(--server "127.0.0.1:$((7100 + vm))"); done

operator() {
  "$BIN/acaciareel" "${SERVERS[@]}" --token-file "$WORK/keys/operators.token" "$@"
}

# submit TENANT VM KIND KEY BODY: sends a request to one entry VM, or to others if it cannot answer.
submit() {
  local tenant=$1 vm=$2 kind=$3 key=$4 body=$5
  printf '%s' "$body" | "$BIN/acaciareel" --server "127.0.0.1:$((7100 + vm))" "${SERVERS[@]}" \
    --token-file "$WORK/keys/caller-$tenant.token" \
    request submit "$kind" --tenant "$tenant" --key "$key" --body -
}

# Returns whether one entry VM of a failure domain, its placer, has all the domain's workers.
has_workers() {
  local server
  for server in $(entries_of "$1" | tr ',' ' '); do
    "$BIN/acaciareel" --server "$server" --token-file "$WORK/keys/operators.token" --json status |
      tr -d ' \n' | grep -q '"placer":true.*"active_workers":5' && return 0
  done
  return 1
}

# Returns whether this many requests of the load have their answer.
answered() {
  [ "$(find "$WORK/answers" -name '*[0-9]' -size +0 | wc -l)" -ge "$1" ]
}

start_daemons() {
  cp examples/loftbook/vm-*.ini "$WORK"
  local vm keys=()
  for vm in $VMS; do keys+=(--vm "vm-$vm"); done
  "$BIN/acaciareel" keys --out "$WORK/keys" "${keys[@]}" \
    --tenant loftbook --tenant vandermeulen >/dev/null
  for vm in $VMS; do
    "$BIN/acaciareeld" --check-config "$WORK/vm-$vm.ini" >/dev/null
    "$BIN/acaciareeld" --config "$WORK/vm-$vm.ini" 2>"$WORK/logs/vm-$vm.log" &
    DAEMONS[vm-$vm]=$!
  done
}

start_workers() {
  local domain group entries number=0
  for domain in $DOMAINS; do
    entries=$(entries_of "$domain")
    for group in $GROUPS_OF_WORKERS; do
      number=$((number + 1))
      "$BIN/examples/standin_worker" --id "$domain-$group" --listen 127.0.0.1:0 \
        --entry "$entries" --failure-domain "$domain" --rack "$domain-r$((number % 2))" \
        --group "$group" --run-ms 20 --run-spread-ms 60 --late-ms 40 --seed "$number" \
        --token-file "$WORK/keys/workers.token" --task-log "$WORK/tasks.log" \
        2>"$WORK/logs/$domain-$group.log" &
      WORKERS[$domain-$group]=$!
    done
  done
}

# Lists the HTTP addresses of the entry VMs of a failure domain.
entries_of() {
  local vm list=""
  for vm in $VMS; do
    # The first failure domain in a file is that of the VM itself.
    if [ "$(sed -n 's/^failure_domain = //p' "$WORK/vm-$vm.ini" | head -n 1)" = "$1" ]; then
      list="$list${list:+,}127.0.0.1:$((7100 + vm))"
    fi
  done
  echo "$list"
}

apply_tables() {
  cat examples/loftbook/tables.ini examples/vandermeulen/tables.ini >"$WORK/tables.ini"
  operator tables check "$WORK/tables.ini"
  retry operator tables apply "$WORK/tables.ini" --expected-version 0 --operation-id demo-first
  operator tables wait --version 1
}

# Prints one line per request: kind, verdict, waiting time, answer.
show_answers() {
  local number=0 line tenant kind body answer note
  while read -r tenant kind body; do
    number=$((number + 1))
    answer=$(submit "$tenant" $((number % 8 + 1)) "$kind" "demo-$number" "$body" 2>"$WORK/note") ||
      fail "$kind: $(cat "$WORK/note")"
    note=$(tr '\n' ' ' <"$WORK/note")
    printf '  %-22s %-28s %s\n' "$kind" "$note" "$answer"
    [ "$answer" = "$kind:$body" ] || fail "$kind got the answer of another request: $answer"
  done <<REQUESTS
loftbook race-verification race-812-ring-4471
loftbook season-audit fancier-90-season-2026
loftbook ring-lookup ring-4471
loftbook loft-credit loft-17-race-812
vandermeulen posture-analysis session-2201
vandermeulen saddle-recalculation rider-2201
vandermeulen cleat-recalculation rider-2201
vandermeulen slot-check jig-3-friday
vandermeulen slot-booking jig-3-friday-10h
REQUESTS
}

# Sends verifications from 8 callers at once and records the answers.
load() {
  local caller
  for caller in $VMS; do
    (
      for ((i = caller; i <= REQUESTS; i += 8)); do
        submit loftbook "$caller" race-verification "load-$i" "bird-$i" \
          >"$WORK/answers/$i" 2>"$WORK/answers/$i.note" || true
      done
    ) &
    LOAD+=($!)
  done
}

move_verifications() {
  sed '/^\[route race-verification\]/,/^\[/ s/^pool = ledger$/pool = ledger-new/' \
    "$WORK/tables.ini" >"$WORK/moved.ini"
  printf '\n[pool ledger-new]\ngroups = ledger-new\npolicy = service\n' >>"$WORK/moved.ini"
  operator tables apply "$WORK/moved.ini" --expected-version 1 --operation-id demo-move
  operator tables wait --version 2 --timeout-ms 6000
}

check_load() {
  local i starts
  for ((i = 1; i <= REQUESTS; i++)); do
    [ "$(cat "$WORK/answers/$i")" = "race-verification:bird-$i" ] ||
      fail "bird-$i is lost: $(cat "$WORK/answers/$i" "$WORK/answers/$i.note")"
    starts=$(grep -c "^start [^ ]* race-verification bird-$i " "$WORK/tasks.log" || true)
    [ "$starts" = 1 ] || fail "bird-$i ran $starts times"
  done
}

# Counts the starts of verifications on the workers of a group.
starts_on() {
  grep -cE "^start [^ ]* race-verification .* worker=khomas-[abc]-$1\$" "$WORK/tasks.log" || true
}

show_histograms() {
  local vm token
  token=$(cat "$WORK/keys/operators.token")
  for vm in $VMS; do
    exec 3<>"/dev/tcp/127.0.0.1/$((7100 + vm))"
    printf 'GET /metrics HTTP/1.1\r\nHost: vm-%s\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n' \
      "$vm" "$token" >&3
    tr -d '\r' <&3 >>"$WORK/metrics"
    exec 3<&-
  done
  # Sums the VMs' histograms: requests, mean, and the bucket that holds 99% of them.
  awk '
    /^acaciareel_(wait|run|total)_seconds_(bucket|sum|count)\{/ {
      match($1, /^[a-z_]+\{/); name = substr($1, 1, RLENGTH - 1)
      match($1, /tenant="[^"]*"/); tenant = substr($1, RSTART + 8, RLENGTH - 9)
      match($1, /class="[^"]*"/); class = substr($1, RSTART + 7, RLENGTH - 8)
      measure = name; sub(/_seconds_.*/, "", measure); sub(/acaciareel_/, "", measure)
      key = sprintf("%-13s %-9s %-6s", tenant, class, measure)
      if (name ~ /_sum$/) sum[key] += $2
      if (name ~ /_count$/) count[key] += $2
      if (name ~ /_bucket$/) {
        match($1, /le="[^"]*"/); le = substr($1, RSTART + 4, RLENGTH - 5)
        bucket[key, le] += $2; bounds[le] = 1
      }
    }
    END {
      n = 0; for (le in bounds) if (le != "+Inf") order[++n] = le + 0
      for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++)
        if (order[j] < order[i]) { t = order[i]; order[i] = order[j]; order[j] = t }
      for (key in count) {
        p99 = "+Inf"
        for (i = n; i >= 1; i--) if (bucket[key, order[i] ""] >= 0.99 * count[key]) p99 = order[i]
        printf "  %s %6d  mean %7.1f ms  p99 <= %s s\n", key, count[key], 1000 * sum[key] / count[key], p99
      }
    }' "$WORK/metrics" | sort
}

show_control_cost() {
  awk '/^acaciareel_process_cpu_seconds /{c += $2; n++} /^acaciareel_process_resident_bytes /{m += $2}
    END { printf "  %.2f processor seconds and %.1f MB resident per daemon, on average of %d\n", c / n, m / n / 1e6, n }' \
    "$WORK/metrics"
}

# Stops processes with SIGTERM; each must end with exit code 0.
stop() {
  local name pid
  for pid in "$@"; do kill -TERM "$pid"; done
  for pid in "$@"; do wait "$pid" || fail "process $pid did not stop gracefully"; done
}

echo "Starting 8 daemons in 3 failure domains and 15 workers"
start_daemons
start_workers
apply_tables
for domain in $DOMAINS; do retry has_workers "$domain"; done

echo "Requests of each kind"
show_answers

echo "Moving race-verification to the pool ledger-new while $REQUESTS of them arrive"
LOAD=()
load
retry answered $((REQUESTS / 3))
before=$(starts_on ledger)
move_verifications
for pid in "${LOAD[@]}"; do wait "$pid"; done
check_load
echo "  $(starts_on ledger) ran in the pool ledger ($before before the change), $(starts_on ledger-new) in ledger-new"
[ "$(starts_on ledger-new)" -gt 0 ] || fail "no verification ran in the new pool"

echo "Histograms of all VMs"
show_histograms
show_control_cost

echo "Stopping"
stop "${WORKERS[@]}"
WORKERS=()
stop "${DAEMONS[@]}"
DAEMONS=()
echo "Every request ran exactly once and every process stopped gracefully"
