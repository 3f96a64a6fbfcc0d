# Load scenarios for a deployment. Each runs with this load balancer (ours) and
# with a baseline: round robin over all servers, a FIFO queue at each, and
# unlimited retries. Sourced by bench/scenarios.
# Optional variables: SEED; PLOTS, a folder for a plot of each run; NEXT_OFF and
# LAST_OFF, which leave out the flow of that rank; LOST, see print_flows.

# set_deployment NAME: sets the latency between regions and, for each rank, the
# kind, its service time, a rate of about half the servers' capacity (both in
# requests/s) and the deadline.
set_deployment() {
    case $1 in
    kaokaew) URGENT=lookup NEXT=reorder LAST=bundle LINK_US=12000
        URGENT_MS=80 NEXT_MS=200 LAST_MS=800 URGENT_RATE=300 NEXT_RATE=90 LAST_RATE=24
        URGENT_CAPACITY=600 NEXT_CAPACITY=180 LAST_CAPACITY=45
        URGENT_DEADLINE_MS=300 NEXT_DEADLINE_MS=2000 LAST_DEADLINE_MS=20000
        LAST_BYTES=200000 ;;
    tidewater) URGENT=count NEXT=payment LAST=archive LINK_US=35000
        URGENT_MS=150 NEXT_MS=250 LAST_MS=800 URGENT_RATE=438 NEXT_RATE=120 LAST_RATE=24
        URGENT_CAPACITY=880 NEXT_CAPACITY=240 LAST_CAPACITY=45
        URGENT_DEADLINE_MS=400 NEXT_DEADLINE_MS=2000 LAST_DEADLINE_MS=30000
        LAST_BYTES=200000 ;;
    esac
    DEPLOYMENT=$1
}
service_ms() {
    case $1 in
    "$URGENT") echo "$URGENT_MS" ;;
    "$NEXT") echo "$NEXT_MS" ;;
    *) echo "$LAST_MS" ;;
    esac
}

# print_flows NAME KIND TOTAL_RATE DEADLINE_MS BYTES START_S END_S ONCE: a flow
# from each domain. With LOST set, the clients of domains 5 and 6 send from
# domains 1 and 2.
print_flows() {
    for d in 1 2 3 4 5 6; do
        if [ -n "${LOST:-}" ] && { [ "$d" = 5 ] || [ "$d" = 6 ]; }; then
            client=127.3.$((d - 4)).2$d
        else
            client=127.3.$d.2$d
        fi
        echo "  - {name: $1, kind: $2, client: $client, rate_per_s: $(($3 / 6)), deadline_ms: $4, size_bytes: $5, start_s: $6, end_s: $7, repeat_lost: true, once: $8$BASELINE_OPTIONS}"
    done
}

# print_experiment NAME SECONDS: the steady flows and those on standard input.
print_experiment() {
    echo "name: $1"
    echo "seconds: $2"
    echo "threads: 3"
    echo "seed: ${SEED:-1}"
    echo "entries: [127.1.1.1:7000, 127.1.3.1:7000, 127.1.2.1:7000]"
    if [ -n "$BASELINE_OPTIONS" ]; then
        echo "targets:"
        awk '{print "  - {kind: " $3 ", address: " $1 "}"}' "$W/servers.real"
    fi
    echo "flows:"
    print_flows urgent "$URGENT" "$URGENT_RATE" "$URGENT_DEADLINE_MS" 300 0 "$2" false
    ONCE=true
    [ -z "$BASELINE_OPTIONS" ] || ONCE=false # the baseline has no tickets
    [ -n "${NEXT_OFF:-}" ] || print_flows next "$NEXT" "$NEXT_RATE" "$NEXT_DEADLINE_MS" 100 0 "$2" "${ONCE:-true}"
    [ -n "${LAST_OFF:-}" ] || print_flows last "$LAST" "$LAST_RATE" "$LAST_DEADLINE_MS" "$LAST_BYTES" 0 "$2" false
    cat
}

print_rows() { # SCENARIO SIDE FILE
    for f in urgent next last flood; do
        sent=$(load_field "$3" $f sent)
        [ -n "$sent" ] && [ "$sent" -gt 0 ] || continue
        printf '%s %s %s %s sent %s ok%% %s p50 %.1f p99 %.1f ok/s %.1f\n' \
            "$DEPLOYMENT" "$1" "$2" "$f" "$sent" \
            "$(awk -v a="$(load_field "$3" $f ok)" -v b="$sent" 'BEGIN {printf "%.2f", 100 * a / b}')" \
            "$(load_field "$3" $f p50_ms)" "$(load_field "$3" $f p99_ms)" \
            "$(load_field "$3" $f ok_per_s)"
        sed -n "/\"flow\": \"$f\"/,/}/p" "$W/$3.json" | awk '/reasons/ {on = 1} on' | tr -d '\n{}"' | sed 's/^ *reasons: */    /; s/ \+/ /g'
        echo
    done
}

# start_deployment: starts hosts and servers, with the deployment's latencies.
start_deployment() {
    start_faulty_cluster "$DEPLOYMENT" || return 1
    for a in 1 2 3 4 5 6; do
        for b in 1 2 3 4 5 6; do
            us=1000
            [ "$DEPLOYMENT" = kaokaew ] || us=500
            [ $(((a + 1) / 2)) = $(((b + 1) / 2)) ] || us=$LINK_US
            [ "$a" = "$b" ] && us=0
            curl -s -X POST "http://$FAULT_CONTROL/latency?from=$a&to=$b&us=$us" >/dev/null
        done
    done
}

# Runs a scenario without (ours) and with the options of the baseline's flows.
run_both_sides() { # SCENARIO FUNCTION
    for side in ours baseline; do
        BASELINE_OPTIONS=""
        [ $side = ours ] || BASELINE_OPTIONS=", round_robin: true"
        curl -s -X POST "http://$FIRST_SERVER/control?every=1&reset=1" >/dev/null
        "$2" "$1-$side"
        print_rows "$1" $side "$1-$side"
        [ -z "${PLOTS:-}" ] || sh bench/plot "$W/$1-$side.csv" \
            "$DEPLOYMENT, $1, $side: responses per second" >"$PLOTS/$DEPLOYMENT-$1-$side.svg"
        echo "    over slots $(sum_stat over)"
        wait_servers_idle
    done
}
# Waits until no server has requests of the last run in flight.
wait_servers_idle() {
    servers_idle() { [ "$(sum_stat inflight)" = 0 ]; }
    wait_for 40 servers_idle
}

s_steady() { print_experiment "$1" 10 </dev/null | load "$1"; }
s_flood_last() { print_flows flood "$LAST" $((LAST_CAPACITY * 5)) "$LAST_DEADLINE_MS" "$LAST_BYTES" 2 10 false | print_experiment "$1" 12 | load "$1"; }
s_flood_urgent() { print_flows flood "$URGENT" $((URGENT_CAPACITY * 3)) "$URGENT_DEADLINE_MS" 300 2 10 false | print_experiment "$1" 12 | load "$1"; }
s_flood_both() {
    { print_flows flood "$LAST" $((LAST_CAPACITY * 5)) "$LAST_DEADLINE_MS" "$LAST_BYTES" 2 10 false
        print_flows flood2 "$URGENT" $((URGENT_CAPACITY * 3)) "$URGENT_DEADLINE_MS" 300 4 10 false; } |
        print_experiment "$1" 12 | load "$1"
}
s_slow_server() { # ten times slower, but reports that it is healthy
    s=$(awk -v k="$URGENT" '$3 == k {print $1; exit}' "$W/servers.real")
    curl -s -X POST "http://$s/control?factor=1000" >/dev/null
    print_experiment "$1" 10 </dev/null | load "$1"
    curl -s -X POST "http://$s/control?factor=100" >/dev/null
}
s_region_lost() { # the hosts of domains 5 and 6 are killed; their callers continue
    if [ -z "$BASELINE_OPTIONS" ]; then
        print_experiment "$1" 16 </dev/null | load "$1" &
        lost_load=$!
        sleep 4
        for h in $(awk '$3 ~ /\.[56]\.[0-9]+:/ {print $1}' "$W/hostlist"); do end "$h" KILL; done
        wait $lost_load
        for h in $(awk '$3 ~ /\.[56]\.[0-9]+:/ {print $1}' "$W/hostlist"); do start_host "$h"; done
        wait_for 40 all_live
    fi
}
s_drain() { # a planned drain of a failure domain, under load
    if [ -z "$BASELINE_OPTIONS" ]; then
        print_experiment "$1" 16 </dev/null | load "$1" &
        drain_load=$!
        sleep 3
        d=$(awk 'NR == 1 {print $2}' "$W/hostlist")
        cp_cli drain "$d" --wait 0 >/dev/null
        wait $drain_load
        cp_cli undrain "$d" --wait 5 >/dev/null
    fi
}
