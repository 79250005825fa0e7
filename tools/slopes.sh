#!/usr/bin/env bash
# Measures the resources that an instance uses as its load grows, and fits a line to each series: tools/slopes.sh BUILD [calls|connections|relay|fleet|wide|changes|all]
# Processor time comes from /proc, so that other load on the machine has little effect on it. Needs about 2 minutes and stops every process that it started.
set -u
BUILD=${1:-build}
what=${2:-all}
seed=1
service_ms=2
# shellcheck disable=SC2034
connections=2000
. "$(dirname "$0")/fleet_lib.sh"
ticks=$(getconf CLK_TCK)

cpu_ms() { # cpu_ms NAME: prints the processor time that the process has used so far.
    awk -v ticks="$ticks" '{ print ($14 + $15) * 1000 / ticks }' "/proc/${pid_of[$1]}/stat"
}

rss_kb() { # rss_kb NAME
    awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"
}

peer_bytes() { # peer_bytes NAME DIRECTION
    curl -s -m 5 "http://$(setting "$work/settings/$1.yaml" admin)/metrics" | awk -v key="direction=\"$2\"" '/^sequoiawharf_peer_bytes_total/ && index($0, key) { sum += $2 } END { print sum + 0 }'
}

fit() { # fit UNIT-OF-X UNIT-OF-Y: reads "x y" lines, and prints them as a table with their least-squares line.
    awk -v ux="$1" -v uy="$2" 'BEGIN { printf "| %s | %s |\n|---|---|\n", ux, uy }
        { printf "| %s | %.1f |\n", $1, $2; n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
        END { slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); printf "\nline: %.2f + %.5f x\n\n", (sy - slope * sx) / n, slope }'
}

measure_calls() {
    local rate before name=taipei-a-1 to
    to=$(setting "$work/settings/$name.yaml" gateway)
    echo "Processor time of one instance by calls:"
    for rate in 500 1000 2000 4000; do
        before=$(cpu_ms $name)
        "$BUILD/tools/load" --to "$to" --fixed --quiet --rate $rate --seconds 5 --callers 40 --seed $rate \
            --kind "quote GET /quotes/1 0 4" --kind "booking POST /bookings 300 1" > "$work/calls.out"
        echo "$rate $(awk -v a="$before" -v b="$(cpu_ms $name)" 'BEGIN { print (b - a) / 5 }')"
    done | fit "calls/s" "ms a second"
    echo "Processor time of one instance by answers of the directory:"
    for rate in 500 1000 2000; do
        before=$(cpu_ms $name)
        "$BUILD/tools/load" --to "$to" --fixed --quiet --rate $rate --seconds 5 --callers 40 --seed $rate --kind "directory GET /.sequoiawharf/directory 0 1" > "$work/calls.out"
        echo "$rate $(awk -v a="$before" -v b="$(cpu_ms $name)" 'BEGIN { print (b - a) / 5 }')"
    done | fit "answers/s" "ms a second"
}

measure_connections() {
    local count name=taipei-a-2 to
    to=$(setting "$work/settings/$name.yaml" gateway)
    echo "Resident memory of one instance by callers' connections:"
    for count in 500 1000 2000 4000; do
        run_in_background load "$BUILD/tools/load" --to "$to" --fixed --quiet --rate 2000 --seconds 12 --callers "$count" --seed 1
        sleep 11
        echo "$count $(rss_kb $name)"
        wait "${pid_of[load]}"
        unset "pid_of[load]"
    done | fit "connections" "KB"
}

far_cpu_ms() { # Prints the processor time of all instances of the second region.
    local name
    for name in $(names | grep -E "${centres[2]}|${centres[3]}"); do cpu_ms "$name"; done | awk '{ sum += $1 } END { print sum }'
}

# Without targets in its own region an instance relays every call to the other one.
measure_relay() {
    local rate before far sent name=taipei-a-1 to
    fleet_start warmhome 8 || exit 1
    to=$(setting "$work/settings/$name.yaml" gateway)
    stop_process target-1 KILL
    stop_process target-2 KILL
    sleep 4
    for rate in 0 200 400 800; do
        before=$(cpu_ms $name) far=$(far_cpu_ms) sent=$(peer_bytes $name sent)
        if [ $rate = 0 ]; then
            sleep 5
        else
            "$BUILD/tools/load" --to "$to" --fixed --quiet --rate $rate --seconds 5 --callers 40 --seed $rate --kind "quote GET /quotes/1 0 1" > "$work/relay.out"
            sed -n 3p "$work/relay.out" >&2
        fi
        awk -v n=$rate -v a="$before" -v b="$(cpu_ms $name)" -v fa="$far" -v fb="$(far_cpu_ms)" -v sa="$sent" -v sb="$(peer_bytes $name sent)" \
            'BEGIN { print n, (b - a) / 5, (fb - fa) / 5, (sb - sa) / 5 }' >> "$series"
    done
    echo "Processor time of the relaying instance by relayed calls:"
    awk '{ print $1, $2 }' "$series" | fit "calls/s" "ms a second"
    echo "Processor time of the other region's instances:"
    awk '{ print $1, $3 }' "$series" | fit "calls/s" "ms a second"
    echo "Bytes that the relaying instance sends to others:"
    awk '{ print $1, $4 }' "$series" | fit "calls/s" "bytes a second"
    fleet_stop
}

# Spreads the instances over 21 data centres in 9 regions: the example's four, and others that have no targets.
spread_widely() {
    local -a all=(taipei-a taoyuan-b kaohsiung-a tainan-b)
    local -a region=(north-tw north-tw south-tw south-tw)
    local i name regions=''
    for ((i = 4; i < 21; i++)); do
        all+=("centre-$i")
        region+=("region-$((i % 7))")
    done
    for name in north-tw south-tw region-{0..6}; do
        regions+="$name: ["
        for ((i = 0; i < 21; i++)); do [ "${region[i]}" != "$name" ] || regions+="${all[i]}, "; done
        regions="${regions%, }], "
    done
    i=0
    for name in $(names); do
        sed -i "s/^region: .*/region: ${region[i % 21]}/; s/^data_centre: .*/data_centre: ${all[i % 21]}/; s/^regions: .*/regions: {${regions%, }}/" \
            "$work/settings/$name.yaml"
        i=$((i + 1))
    done
}

measure_wide() {
    adjust_settings() { spread_widely; }
    sizes="42 63 84 105"
    measure_fleet
}

sizes="8 16 32 64"
measure_fleet() {
    local count name first sent
    for count in $sizes; do
        [ -d "$work" ] || work=$(mktemp -d)
        fleet_start warmhome $count || exit 1
        sleep 5
        name=$(names | head -1)
        first=$(cpu_ms "$name") sent=$(peer_bytes "$name" sent)
        sleep 10
        awk -v n=$count -v a="$first" -v b="$(cpu_ms "$name")" -v sa="$sent" -v sb="$(peer_bytes "$name" sent)" -v rss="$(rss_kb "$name")" \
            'BEGIN { print n, (b - a) / 10, (sb - sa) / 10, rss }' >> "$series"
        fleet_stop
    done
    echo "Processor time of an idle instance by instances of the fleet:"
    awk '{ print $1, $2 }' "$series" | fit instances "ms a second"
    echo "Bytes that an idle instance sends to others:"
    awk '{ print $1, $3 }' "$series" | fit instances "bytes a second"
    echo "Resident memory of an idle instance:"
    awk '{ print $1, $4 }' "$series" | fit instances KB
}

publish_change() { # publish_change NUMBER: publishes a table with one changed row and waits until all instances use it.
    sed "0,/deadline: [0-9]*ms/s//deadline: $((700 + $1))ms/" "$work/settings/routes.yaml" > "$work/changed.yaml"
    "$BUILD/src/sequoiawharf" publish --platform "$platform" --wait 10 "$work/changed.yaml" "$work/settings/pools.yaml" > "$work/publish.out" 2>&1
}

# Uses a window of 20 s for each count of changes. The time of a publication ends when every instance has received it.
measure_changes() {
    local count i name begin first sent
    fleet_start warmhome 32 || exit 1
    sleep 3
    name=$(names | head -1)
    for count in 0 10 20 40; do
        begin=$SECONDS first=$(cpu_ms "$name") sent=$(peer_bytes "$name" sent)
        for ((i = 0; i < count; i++)); do
            local start=${EPOCHREALTIME/./}
            publish_change $((count + i)) || say "a change was not in force in time: $(head -1 "$work/publish.out")"
            echo $(((${EPOCHREALTIME/./} - start) / 1000)) >> "$work/in-force"
        done
        while [ $((SECONDS - begin)) -lt 20 ]; do sleep 0.2; done
        awk -v n=$count -v a="$first" -v b="$(cpu_ms "$name")" -v sa="$sent" -v sb="$(peer_bytes "$name" sent)" 'BEGIN { print n, b - a, sb - sa }' >> "$series"
    done
    echo "Processor time of an instance in 20 s by changes of the tables:"
    awk '{ print $1, $2 }' "$series" | fit changes ms
    echo "Bytes that an instance sends to others in 20 s:"
    awk '{ print $1, $3 }' "$series" | fit changes bytes
    echo "Time from a publication to its force at 32 instances, command included, in ms:"
    sort -n "$work/in-force" | awk '{ v[NR] = $1 } END { printf "median %d, largest %d, of %d\n", v[int((NR + 1) / 2)], v[NR], NR }'
    fleet_stop
}

series=$(mktemp)
if [ "$what" = changes ] || [ "$what" = relay ] || [ "$what" = wide ]; then
    "measure_$what"
    rm -f "$series"
    exit 0
fi
if [ "$what" != fleet ]; then
    fleet_start warmhome 8 || exit 1
    [ "$what" = connections ] || measure_calls
    [ "$what" = calls ] || measure_connections
    fleet_stop
fi
[ "$what" = calls ] || [ "$what" = connections ] || measure_fleet
[ "$what" != all ] || {
    rm -f "$series" && work=$(mktemp -d) && measure_relay
    rm -f "$series" && work=$(mktemp -d) && measure_changes
    rm -f "$series" && work=$(mktemp -d) && measure_wide
}
rm -f "$series"
