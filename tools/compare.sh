#!/usr/bin/env bash
# Compares the selection policies under load and faults on the same seeds, on real processes, and prints a Markdown table:
#   tools/compare.sh BUILD [warmhome|market] [SEED] [SECONDS-PER-ROW] [POLICY...]
# Needs about one minute per policy with the defaults and stops every process that it started. Exit code 1: a rule was violated in some row.
set -u
BUILD=${1:-build}
deployment=${2:-warmhome}
seed=${3:-1}
span=${4:-4}
shift $(($# < 4 ? $# : 4))
policies=${*:-round-robin random two-choices two-choices-reported adaptive}
instances=12
service_ms=40
. "$(dirname "$0")/fleet_lib.sh"
. "$(dirname "$0")/fault_lib.sh"
if [ "$deployment" = warmhome ]; then
    # Slots over service time: 20 endpoints serve 2000 quotes a second, 10 serve 1000 of each other kind.
    hit_pools='safety bookings'
    mix=$'quote GET /quotes/1 0 2\nsafety GET /safety/1 0 1\nbooking POST /bookings 300 1'
    capacity=4000
else
    hit_pools='bays reservations'
    mix=$'bay GET /bays/1 0 1.5\nreserve POST /reservations 300 1\ndelivery GET /deliveries/1 0 1'
    capacity=3500
fi
rows="50:none 80:none 95:none 120:none 50:straggler 50:fail-fast 50:lie-idle 50:shifting 50:silent 50:data-centre-gone 50:link-cut"

row() { # row POLICY LEVEL FAULT
    local name=$1-$2-$3
    load_in_background "$name" $((capacity * $2 / 100)) "$span" "$seed"
    if [ "$3" != none ]; then
        sleep 0.5
        fault_on "$3"
    fi
    wait "${pid_of[$name]}"
    unset "pid_of[$name]"
    [ "$3" = none ] || fault_off "$3"
    local result=$work/$name.json
    local broken=$(($(number_of mismatched "$result") + $(number_of ran_though_not_run "$result") + $(number_of doubled_runs "$result")))
    [ "$broken" = 0 ] && [ -s "$result" ] || failures=1
    awk -F ' *[|] *' -v head="| $2 % | $3 | $1" -v broken="$broken" 'NR > 2 && NF > 10 {
        calls = 0
        for (i = 3; i <= 9; i++) calls += $i
        printf "%s | %s | %d | %.2f | %.2f | %.2f | %s | %s | %s | %s |\n", head, $2, calls, 100 * ($5 + $7) / calls, 100 * $6 / calls,
            100 * ($4 + $8 + $9) / calls, $10, $11, $12, broken
    }' "$work/$name.out"
}

echo "Deployment $deployment, $instances instances, seed $seed, $span s a row, 100 % is $capacity calls/s, mean service time $service_ms ms."
echo
echo "| load | fault | policy | kind | calls | not run or refused % | unknown % | failed or lost % | p50 ms | p99 ms | p99.9 ms | broken rules |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|"
for policy in $policies; do
    daemon_settings="policy: $policy"
    [ -d "$work" ] || work=$(mktemp -d)
    fleet_start "$deployment" "$instances" || exit 1
    for entry in $rows; do
        row "$policy" "${entry%%:*}" "${entry##*:}"
    done
    fleet_stop
done
exit "$failures"
