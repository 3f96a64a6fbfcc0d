# Scenarios on a deployment's own shape, ours beside the baseline (round
# robin over all servers, FIFO at each, unlimited repeats). Sourced by run.

# deployment NAME: sets kinds, rates that half fill the servers, and times.
deployment() {
    case $1 in
    kaokaew) U=lookup N=reorder L=bundle LINK_US=12000
        U_MS=80 N_MS=200 L_MS=800 U_RATE=300 N_RATE=90 L_RATE=24
        U_CAP=600 N_CAP=180 L_CAP=45 U_DL=300 N_DL=2000 L_DL=20000
        L_SIZE=200000 ;;
    tidewater) U=count N=payment L=archive LINK_US=35000
        U_MS=150 N_MS=250 L_MS=800 U_RATE=438 N_RATE=120 L_RATE=24
        U_CAP=880 N_CAP=240 L_CAP=45 U_DL=400 N_DL=2000 L_DL=30000
        L_SIZE=200000 ;;
    esac
    DEPLOYMENT=$1
}
service_ms() {
    case $1 in
    "$U") echo "$U_MS" ;;
    "$N") echo "$N_MS" ;;
    *) echo "$L_MS" ;;
    esac
}

# flows NAME KIND TOTAL_RATE DEADLINE SIZE FROM TO ONCE: a flow a domain.
flows() {
    for d in 1 2 3 4 5 6; do
        if [ -n "${LOST:-}" ] && { [ "$d" = 5 ] || [ "$d" = 6 ]; }; then
            client=127.3.$((d - 4)).2$d
        else
            client=127.3.$d.2$d
        fi
        echo "  - {name: $1, kind: $2, client: $client, rate_per_s: $(($3 / 6)), deadline_ms: $4, size_bytes: $5, start_s: $6, end_s: $7, repeat_lost: true, once: $8$BASE}"
    done
}

# experiment NAME SECONDS: the steady flows and those on standard input.
experiment() {
    echo "name: $1"
    echo "seconds: $2"
    echo "threads: 3"
    echo "seed: ${SEED:-1}"
    echo "entries: [127.1.1.1:7000, 127.1.3.1:7000, 127.1.2.1:7000]"
    if [ -n "$BASE" ]; then
        echo "targets:"
        awk '{print "  - {kind: " $3 ", address: " $1 "}"}' "$W/servers.real"
    fi
    echo "flows:"
    flows urgent "$U" "$U_RATE" "$U_DL" 300 0 "$2" false
    ONCE=true
    [ -z "$BASE" ] || ONCE=false # the baseline knows no tickets
    [ -n "${NEXT_OFF:-}" ] || flows next "$N" "$N_RATE" "$N_DL" 100 0 "$2" "${ONCE:-true}"
    [ -n "${LAST_OFF:-}" ] || flows last "$L" "$L_RATE" "$L_DL" "$L_SIZE" 0 "$2" false
    cat
}

row() { # SCENARIO SIDE FILE
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

# start_deployment: hosts and servers, with the deployment's latencies.
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

# Each scenario runs with BASE empty (ours) or with the baseline's options.
both() { # SCENARIO FUNCTION
    for side in ours baseline; do
        BASE=""
        [ $side = ours ] || BASE=", round_robin: true"
        curl -s -X POST "http://$FIRST_SERVER/control?every=1&reset=1" >/dev/null
        "$2" "$1-$side"
        row "$1" $side "$1-$side"
        [ -z "${PLOTS:-}" ] || sh bench/plot "$W/$1-$side.csv" \
            "$DEPLOYMENT, $1, $side: answers a second" >"$PLOTS/$DEPLOYMENT-$1-$side.svg"
        echo "    beyond slots $(sum_stat over)"
        quiet_servers
    done
}
# Waits until no server works on what is left of the last run.
quiet_servers() {
    no_work() { [ "$(sum_stat inflight)" = 0 ]; }
    wait_for 40 no_work
}

s_steady() { experiment "$1" 10 </dev/null | load "$1"; }
s_flood_last() { flows flood "$L" $((L_CAP * 5)) "$L_DL" "$L_SIZE" 2 10 false | experiment "$1" 12 | load "$1"; }
s_flood_urgent() { flows flood "$U" $((U_CAP * 3)) "$U_DL" 300 2 10 false | experiment "$1" 12 | load "$1"; }
s_flood_both() {
    { flows flood "$L" $((L_CAP * 5)) "$L_DL" "$L_SIZE" 2 10 false
        flows flood2 "$U" $((U_CAP * 3)) "$U_DL" 300 4 10 false; } |
        experiment "$1" 12 | load "$1"
}
s_slow_server() { # ten times slower, and it reports good health
    s=$(awk -v k="$U" '$3 == k {print $1; exit}' "$W/servers.real")
    curl -s -X POST "http://$s/control?factor=1000" >/dev/null
    experiment "$1" 10 </dev/null | load "$1"
    curl -s -X POST "http://$s/control?factor=100" >/dev/null
}
s_region_lost() { # the hosts of domains 5 and 6 die; their callers go on
    if [ -z "$BASE" ]; then
        experiment "$1" 16 </dev/null | load "$1" &
        lost_load=$!
        sleep 4
        for h in $(awk '$3 ~ /\.[56]\.[0-9]+:/ {print $1}' "$W/hostlist"); do end "$h" KILL; done
        wait $lost_load
        for h in $(awk '$3 ~ /\.[56]\.[0-9]+:/ {print $1}' "$W/hostlist"); do start_host "$h"; done
        wait_for 40 all_live
    fi
}
s_drain() { # a planned drain of a failure domain, under load
    if [ -z "$BASE" ]; then
        experiment "$1" 16 </dev/null | load "$1" &
        drain_load=$!
        sleep 3
        d=$(awk 'NR == 1 {print $2}' "$W/hostlist")
        cp_cli drain "$d" --wait 0 >/dev/null
        wait $drain_load
        cp_cli undrain "$d" --wait 5 >/dev/null
    fi
}
