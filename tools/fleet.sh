#!/usr/bin/env bash
# Runs a local fleet on loopback, makes calls through it, prints the answer to each, and stops every process that it started: tools/fleet.sh BUILD [INSTANCES]
set -u
BUILD=${1:-build}
instances=${2:-8}
seed=1
. "$(dirname "$0")/fleet_lib.sh"

call() { # call WHAT METHOD PATH BODY-BYTES
    printf '%-16s ' "$1"
    # shellcheck disable=SC2046
    "$BUILD/tools/load" $(entry_addresses) --once "$2 $3" --body-bytes "$4" || failures=1
}

say "starting $instances instances in 4 data centres and 2 regions, with stand-ins for targets, platform and link"
fleet_start warmhome "$instances" || exit 1
"$BUILD/src/sequoiawharf" status --platform "$platform" || failures=1
call "quote read" GET /quotes/17 0
call "safety lookup" GET /safety/heater-4 0
call "booking" POST /bookings 300
call "photo upload" POST /photos/wiring-9 5000000
say "stopping one instance as planned"
name=$(names | head -1)
stop_process "$name" INT
say "$name ended with exit code $last_status"
exit "$failures"
