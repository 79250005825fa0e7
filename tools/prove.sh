#!/usr/bin/env bash
# Injects each fault alone and in seeded pairs under load, and prints a Markdown table that shows for each guarantee whether it held:
#   tools/prove.sh BUILD [warmhome|market] [SEED] [PAIRS] [SECONDS-PER-FAULT]
#   tools/prove.sh BUILD short       a few faults on a small fleet; verdicts that do not depend on timing
# Ends within about 5 minutes with the defaults and stops every process that it started. Exit code 1: a guarantee was violated.
set -u
BUILD=${1:-build}
deployment=${2:-warmhome}
seed=${3:-1}
pairs=${4:-8}
span=${5:-6}
instances=12
rate=${RATE:-300}
short=
if [ "$deployment" = short ]; then
    short=1 deployment=warmhome instances=6 pairs=0 rate=100 span=4
fi
. "$(dirname "$0")/fleet_lib.sh"
. "$(dirname "$0")/fault_lib.sh"
# A planned stop takes directory_lifetime, because callers cache answers of the directory for that long.
# shellcheck disable=SC2034
measuring_rate=4096
daemon_settings="directory_lifetime: 1s
measuring: {bytes_per_second: $measuring_rate}"
if [ "$deployment" = warmhome ]; then
    hit_pools='quotes bookings'
    mix=$'quote GET /quotes/1 0 10\nsafety GET /safety/1 0 3\nbooking POST /bookings 300 4\nphoto POST /photos/1 200000 0.1'
else
    hit_pools='bays reservations'
    mix=$'bay GET /bays/1 0 10\nreserve POST /reservations 300 4\ndelivery GET /deliveries/1 0 3\nclaim POST /claims/1 200000 0.1'
fi

versions() { # Records the version of each instance repeatedly until the fleet ends: "INSTANCE/INCARNATION VERSION".
    local name
    while :; do
        for name in $(names); do
            curl -s -m 1 "http://$(setting "$work/settings/$name.yaml" admin)/status" |
                sed -nE 's/.*"instance":"([^"]*)","incarnation":([0-9]+).*"version":([0-9]+).*/\1\/\2 \3/p'
        done >> "$work/versions"
        sleep 0.3
    done
}

in_step() { # Succeeds if all instances have the same version.
    "$BUILD/src/sequoiawharf" status --platform "$platform" > "$work/status.out" 2>&1
}

metric() { # metric ADMIN PATTERN: the sum of the metrics that match.
    curl -s -m 2 "http://$1/metrics" | awk -v pattern="$2" '$1 ~ pattern { sum += $2 } END { printf "%d\n", sum }'
}

# Prints the number of instances that exceeded their measuring budget, the bytes of measuring, and the bytes of callers' calls. Run it before the
# fleet ends; instances that ended earlier are not counted.
measuring() {
    local name admin started
    for name in $(names); do
        admin=$(setting "$work/settings/$name.yaml" admin)
        started=$(curl -s -m 2 "http://$admin/status" | sed -nE 's/.*"incarnation":([0-9]+).*/\1/p')
        [ -n "$started" ] || continue
        echo "$(($(date +%s%6N) - started)) $(metric "$admin" '^sequoiawharf_measuring_bytes_total') $(metric "$admin" '^sequoiawharf_call_bytes_total.*_callers')"
    done | awk -v rate="$measuring_rate" '{ over += $2 > rate * ($1 / 1000000 + 1); measured += $2; carried += $3 } END { print over + 0, measured + 0, carried + 0 }'
}

held() { # held BROKEN-COUNT; runs in subshells, so it records a violation in a file.
    [ "$1" = 0 ] && echo held || { echo "$1" >> "$work/broken"; echo "**broken ($1)**"; }
}

step() { # step FAULT...: runs the load, injects the faults during it, ends them, and prints one row.
    local name fault lateBefore seconds=$span
    case " $* " in *" drain "*) seconds=$((span + 4)) ;; esac
    name=step-$((++steps))
    lateBefore=$(late_runs)
    stop_status=0
    load_in_background "$name" "$rate" "$seconds" "$((seed * 1000 + steps))"
    sleep 1
    for fault in "$@"; do fault_on "$fault"; done
    publish_again "during $*"
    wait "${pid_of[$name]}"
    unset "pid_of[$name]"
    for fault in "$@"; do fault_off "$fault"; done
    local stepLag=0 lost stopCut="-"
    wait_until 15 in_step || stepLag=1
    local result=$work/$name.json
    lost=$(($(number_of all_lost "$result") + $(number_of all_no_connection "$result")))
    [ "$*" != instance-stopped ] || stopCut=$(held $((lost + stop_status)))
    local finished
    finished=$(number_of finished "$result")
    printf '| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n' "$*" "$finished" "$(number_of all_answered "$result")" \
        "$(number_of all_server_error "$result")" "$(number_of all_not_run "$result")" "$(number_of all_unknown "$result")" "$lost" \
        "$(held "$(number_of mismatched "$result")")" "$(held "$(number_of ran_though_not_run "$result")")" \
        "$(held "$(number_of doubled_runs "$result")")" "$(held $(($(late_runs) - lateBefore)))" "$stopCut" "$(held $stepLag)"
    [ "$finished" != 0 ] || { say "no result of $*"; failures=1; }
}

steps=0
fleet_start "$deployment" "$instances" || exit 1
versions &
pid_of[versions]=$!
echo "Deployment $deployment, $instances instances, seed $seed, $rate calls/s, $span s for each fault."
echo
echo "| fault | calls | answered | 5xx | not run | unknown | lost | own whole answer | not-run is true | at most once | leaving: no new work after 3 s | stop cuts nothing | one version within 15 s |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|"
if [ -n "$short" ]; then
    for fault in fail-fast shed truncate answer-lost; do step $fault; done
else
    step none
    for fault in $fault_names; do step "$fault"; done
    RANDOM=$seed
    read -ra list <<< "$fault_names"
    for ((i = 0; i < pairs; i++)); do
        first=${list[RANDOM % ${#list[@]}]} second=${list[RANDOM % ${#list[@]}]}
        [ "$first" != "$second" ] || second=log-down
        step "$first" "$second"
    done
fi
stop_process versions KILL
echo
backward=$(awk '$2 < seen[$1] { count++ } { seen[$1] = $2 } END { print count + 0 }' "$work/versions")
echo "Versions that went back, of $(wc -l < "$work/versions") readings: $(held "$backward")"
echo "Publications by exit code (0 accepted, 4 refused, 5 unknown): $(cut -d' ' -f1 "$work/publications" | sort | uniq -c | awk '{ printf "%s%s: %s", sep, $2, $1; sep = ", " }')"
read -r over measured carried <<< "$(measuring)"
echo "Measuring within the budget of $measuring_rate bytes/s for each instance: $(held "$over") ($measured bytes; callers' calls: $carried bytes)"
[ ! -s "$work/broken" ] || failures=1
exit "$failures"
