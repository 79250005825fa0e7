# Starts and stops a local fleet on loopback for the other scripts in this folder. Source it after setting BUILD, the build folder.
# Records every process that it starts and ends it by its id. FLEET_NET, a digit, shifts all addresses, so that several fleets can run at once:
# with 7, hosts of 127.1 are in 127.71.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
declare -A pid_of # name -> process id
failures=0

say() { printf '%s\n' "$*" >&2; }

run_in_background() { # run_in_background NAME COMMAND...
    local name=$1
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pid_of[$name]=$!
}

stop_process() { # stop_process NAME [SIGNAL]
    local pid=${pid_of[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"${2:-TERM}" "$pid" 2> /dev/null || true
    wait "$pid" 2> /dev/null && last_status=0 || last_status=$?
    unset "pid_of[$1]"
}

# Ends all remaining processes, the callers first, and the instances without waiting for callers to leave.
fleet_stop() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    pid_of=()
    rm -rf "$work"
}
trap fleet_stop EXIT
trap 'exit 130' INT TERM

setting() { # setting FILE KEY
    sed -n "s/^$2: //p" "$1"
}

names() {
    local file
    for file in "$work"/settings/*.yaml; do
        case $file in */routes.yaml | */pools.yaml) ;; *) basename "$file" .yaml ;; esac
    done
}

wait_until() { # wait_until SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

answers() { # answers URL
    curl -s -m 1 -o /dev/null "$1"
}

list_instances() { # Prints the list of all running instances in the platform's format.
    local name file separator=""
    printf '['
    for name in $(names); do
        [ -n "${pid_of[$name]:-}" ] || continue
        file=$work/settings/$name.yaml
        printf '%s{"instance":"%s","gateway":"%s","peer":"%s","admin":"%s","data_centre":"%s","region":"%s","state":"live"}' "$separator" "$name" \
            "$(setting "$file" gateway)" "$(setting "$file" peer)" "$(setting "$file" admin)" "$(setting "$file" data_centre)" "$(setting "$file" region)"
        separator=,
    done
    printf ']'
}

publish_list() {
    list_instances | curl -s -m 5 -o /dev/null --data-binary @- "http://$platform/instances/set"
}

start_instance() { # start_instance NAME
    run_in_background "$1" "$BUILD/src/sequoiawharfd" --settings "$work/settings/$1.yaml"
}

ready() { # ready NAME
    curl -s -m 1 "http://$(setting "$work/settings/$1.yaml" admin)/status" | grep -q '"ready":true'
}

all_ready() {
    local name
    for name in $(names); do
        ready "$name" || return 1
    done
}

all_listed() { # Succeeds if every instance's directory answer is full or lists all instances of its region.
    local name file wanted entries
    for name in $(names); do
        file=$work/settings/$name.yaml
        wanted=$(grep -lx "region: $(setting "$file" region)" "$work"/settings/*-*.yaml | wc -l)
        entries=$(curl -s -m 1 "http://$(setting "$file" gateway)/.sequoiawharf/directory" | grep -o '"gateway"' | wc -l)
        [ "$entries" -ge $((wanted < 4 ? wanted : 4)) ] || return 1
    done
}

target_admin() { # target_admin CENTRE-NUMBER
    echo "$endpoint_net.$1.200:9900"
}

target_switch() { # target_switch ENDPOINT|all QUERY: switches faults at one endpoint, or at all of them.
    local centre
    for centre in 1 2 3 4; do
        curl -s -m 5 -o /dev/null "http://$(target_admin $centre)/control?endpoint=$1&$2" || true
    done
}

endpoints_of() { # endpoints_of POOL
    awk -v pool="$1" '$2 == "name:" { on = ($3 == pool) } on && /address:/ { gsub(/[{},]/, ""); print $3 }' "$work/settings/pools.yaml"
}

start_targets() { # start_targets CENTRE-NUMBER
    local -a targetOptions=(--pools "$work/settings/pools.yaml" --data-centre "${centres[$1 - 1]}" --admin "$(target_admin "$1")" --max-connections "$connections")
    run_in_background "target-$1" "$BUILD/tools/target" "${targetOptions[@]}" --service-ms "${service_ms:-5}" --seed "$((seed + $1))"
}

# Starts the platform, the link, the targets and the instances of a deployment, and publishes its tables.
fleet_start() { # fleet_start warmhome|market INSTANCES
    case $1 in
    warmhome) centres=(taipei-a taoyuan-b kaohsiung-a tainan-b) endpoint_net=127.2 platform=127.0.0.2:7000 connections=250 ;;
    market) centres=(dolac trnje split-luka zadar-riva) endpoint_net=127.4 platform=127.0.0.3:7000 connections=200 ;;
    esac
    "$repository/example/generate" "$1" "$work/settings" "$2" > /dev/null
    sed -i -E "s/127\.([0-4])\./127.${FLEET_NET:-}\1./g" "$work"/settings/*.yaml
    endpoint_net=127.${FLEET_NET:-}${endpoint_net#127.}
    platform=127.${FLEET_NET:-}${platform#127.}
    if answers "http://$platform/stats"; then
        say "another platform answers at $platform: set FLEET_NET to a digit of your own"
        return 1
    fi
    if declare -F adjust_settings > /dev/null; then adjust_settings; fi
    far_platform=${platform%:*}
    far_platform=${far_platform%.*}.1${far_platform##*.}:7000
    local far
    far=$(grep -l "region: $(setting "$work/settings/${centres[2]}-1.yaml" region)" "$work"/settings/*-*.yaml)
    sed -i "s/^platform: .*/platform: [$far_platform]/" $far
    [ -z "${daemon_settings:-}" ] || for name in $(names); do printf '%s\n' "$daemon_settings" >> "$work/settings/$name.yaml"; done

    run_in_background platform "$BUILD/tools/platform" --listen "$platform"
    link_admin=${far_platform%:*}:7001
    run_in_background link "$BUILD/tools/link" --reverse-map "$far_platform=$platform" --admin "$link_admin"
    local centre name
    for centre in 1 2 3 4; do
        start_targets "$centre"
    done
    wait_until 5 answers "http://$platform/stats" || say "the platform does not start"
    for name in $(names); do
        start_instance "$name"
    done
    publish_list
    "$BUILD/src/sequoiawharf" publish --platform "$platform" "$work/settings/routes.yaml" "$work/settings/pools.yaml" > "$work/publish.out" 2>&1 ||
        { cat "$work/publish.out" >&2; return 1; }
    wait_until 20 all_ready || { say "not every instance became ready"; return 1; }
    wait_until 20 all_listed || { say "the instances do not find each other"; return 1; }
}

entry_addresses() { # Prints --to options of the few instances that callers are configured with.
    local name
    for name in $(names); do
        printf -- '--to %s ' "$(setting "$work/settings/$name.yaml" gateway)"
    done
}

admin_addresses() { # Prints --target-admin options.
    local centre
    for centre in 1 2 3 4; do
        printf -- '--target-admin %s ' "$(target_admin $centre)"
    done
}
