# Fault injection into a running fleet, for the other scripts in this folder. Each fault begins with fault_on NAME and ends with fault_off NAME.
# Source it after fleet_lib.sh. The seed selects the affected endpoint and instance.

fault_names="straggler drain fail-fast shed cold truncate lie-idle lie-sick silent shifting instance-killed instance-stopped instance-paused \
log-down log-slow answer-lost racing-operators link-cut data-centre-gone"

pick() { # pick NUMBER WORDS...: prints the word that the seed selects.
    local number=$1
    shift
    echo "${@:$(((seed * 7 + number) % $# + 1)):1}"
}

platform_switch() {
    curl -s -m 5 -o /dev/null "http://$platform/control?$1" || true
}

link_switch() {
    curl -s -m 5 -o /dev/null "http://$link_admin/control?$1" || true
}

hit_endpoints() { # hit_endpoints NUMBER QUERY: switches a fault at one endpoint of each pool in $hit_pools.
    local pool
    for pool in $hit_pools; do
        # shellcheck disable=SC2046
        target_switch "$(pick "$1" $(endpoints_of "$pool"))" "$2"
    done
}

hit_instance() { # hit_instance NUMBER
    # shellcheck disable=SC2046
    pick "$1" $(names)
}

publish_again() { # publish_again NOTE: publishes the tables with a changed deadline of one route, and records the exit code.
    local file
    file=$work/routes-$BASHPID-$RANDOM.yaml
    sed "0,/deadline: [0-9]*ms/s//deadline: $((700 + RANDOM % 200))ms/" "$work/settings/routes.yaml" > "$file"
    local code=0
    "$BUILD/src/sequoiawharf" publish --platform "$platform" --timeout 12 --note "$1" "$file" "$work/settings/pools.yaml" > "$file.out" 2>&1 || code=$?
    echo "$code $1 $(head -1 "$file.out")" >> "$work/publications"
}

restart_instance() { # restart_instance NAME
    start_instance "$1"
    publish_list
    wait_until 20 ready "$1" || say "$1 did not become ready again"
}

fault_on() {
    case $1 in
    straggler) hit_endpoints 1 slow=10 ;;
    drain) hit_endpoints 2 drain=1 ;;
    fail-fast) hit_endpoints 3 fail=1 ;;
    shed) hit_endpoints 4 shed=1 ;;
    cold) hit_endpoints 5 cold=5000 ;;
    truncate) hit_endpoints 6 truncate=1 ;;
    lie-idle) hit_endpoints 7 "lie=idle&slow=10" ;;
    lie-sick) hit_endpoints 8 lie=sick ;;
    silent) target_switch all hang=1 ;;
    shifting) target_switch all move=1 ;;
    instance-killed) stop_process "$(hit_instance 1)" KILL ;;
    instance-stopped)
        stop_process "$(hit_instance 2)" TERM
        stop_status=$last_status
        ;;
    instance-paused) kill -STOP "${pid_of[$(hit_instance 3)]}" 2> /dev/null ;;
    log-down) platform_switch down=1 ;;
    log-slow) platform_switch slow_ms=1500 ;;
    answer-lost) platform_switch lose_answer=1 ;;
    racing-operators)
        publish_again racer-1 &
        publish_again racer-2 &
        ;;
    link-cut) link_switch cut=1 ;;
    data-centre-gone) stop_process target-1 KILL ;;
    esac
}

fault_off() {
    case $1 in
    straggler | drain | fail-fast | shed | cold | truncate | lie-idle | lie-sick | silent) target_switch all reset=1 ;;
    shifting) target_switch all move=0 ;;
    instance-killed) restart_instance "$(hit_instance 1)" ;;
    instance-stopped) restart_instance "$(hit_instance 2)" ;;
    instance-paused) kill -CONT "${pid_of[$(hit_instance 3)]}" 2> /dev/null ;;
    log-down) platform_switch down=0 ;;
    log-slow) platform_switch slow_ms=0 ;;
    answer-lost) platform_switch lose_answer=0 ;;
    link-cut) link_switch cut=0 ;;
    data-centre-gone) start_targets 1 ;;
    esac
}

load_in_background() { # load_in_background NAME RATE SECONDS SEED: runs the deployment's mix of calls; the result goes to $work/NAME.json.
    local -a options=(--rate "$2" --seconds "$3" --seed "$4" --callers 40 --timeout 4 --quiet --result "$work/$1.json")
    local kind
    while read -r kind; do
        options+=(--kind "$kind")
    done <<< "$mix"
    # shellcheck disable=SC2046
    run_in_background "$1" "$BUILD/tools/load" $(entry_addresses) $(admin_addresses) "${options[@]}"
}

number_of() { # number_of KEY FILE: prints a number from the load generator's result, or 0 if it is missing.
    local found
    found=$(grep -o "\"$1\":[0-9.]*" "$2" 2> /dev/null | head -1)
    echo "${found##*:}" | grep . || echo 0
}

late_runs() { # Prints the number of runs that began 3 s or more after their endpoint started leaving, over all targets that answer.
    local centre
    for centre in 1 2 3 4; do
        curl -s -m 5 "http://$(target_admin $centre)/stats" | grep -o '"late_runs":[0-9]*' || true
    done | awk -F: '{ sum += $2 } END { print sum + 0 }'
}
