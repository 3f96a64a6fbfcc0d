# Shell functions for route hosts whose servers stutter: the stand-in relay that
# cuts, repeats, delays and joins responses, and callers that check every byte.
# Sourced after tools/cluster.sh and tools/routes.sh.

STUTTER_CONTROL=127.${NET}1.0.3:7902
STUTTER_KINDS="split cut again twice late earlier short"
stutter() { curl -s "http://$STUTTER_CONTROL/control?$1" >/dev/null; }
stutter_counts() { curl -s "http://$STUTTER_CONTROL/counts"; }
relay_address() { echo "127.${NET}7.${1#127."${NET}"2.}"; }

STUTTER_SERVERS="i-1:$S1:na i-2:$S2:nb i-3:$S3:wa i-4:127.${NET}2.3.2:8000:wa"

# start_stutter: starts a cluster whose servers, of the service s3, are behind the
# relay. They need no warm-up, which would have requests refused after failures.
start_stutter() {
    start_platform || return 1
    server_args="" relays=""
    for s in $STUTTER_SERVERS; do
        address=$(echo "$s" | cut -d: -f2,3)
        server_args="$server_args $address,${s%%:*},16,5"
        relays="$relays $(relay_address "$address")=$address"
    done
    # shellcheck disable=SC2086
    spawn routed "$B/standin-routed" $server_args
    # shellcheck disable=SC2086
    spawn stutter "$B/standin-stutter" "$STUTTER_CONTROL" $relays
    wait_for 5 curl -s "http://$S1/stats" && wait_for 5 stutter_counts || return 1
    for s in $STUTTER_SERVERS; do
        server_row "${s%%:*}" s3 "$(relay_address "$(echo "$s" | cut -d: -f2,3)")" "${s##*:}" 16 ready 1
    done
    start_route_hosts || return 1
    put_config 5 "$(route_json get3 a.example /get3/ idempotent 1500 s3)" \
        "$(route_json pay3 a.example /pay3/ non_idempotent 1500 s3)" \
        "$(service_json s3 | sed 's/"warmupS":[0-9.]*/"warmupS":0/')"
    wait_for 5 all_ready && wait_for 3 all_known
}

# check_callers SEED REQUESTS: lets six callers send so many requests each.
# Writes their lines to $W/checked-SEED, and violations of these and of requests
# that may run once to $W/wrong-SEED, each with its kind first.
check_callers() {
    # shellcheck disable=SC2046
    "$B/standin-checker" --seed "$1" --requests "$2" \
        $(for h in $ROUTE_HOSTS; do echo "$(ip_of_host "$h"):7000"; done) >"$W/checked-$1"
    curl -s "http://$S1/runs" >"$W/runs"
    {
        sed -n 's/^violation //p' "$W/checked-$1"
        awk 'NR == FNR {n[$1] = $2; next}
            $1 == "violation" {next}
            $2 == "pay" && n[$1] > 1 {print "twice", $1 ": ran", n[$1], "times"}
            $2 == "pay" && $3 == "not-run" && n[$1] > 0 {print "refused", $1 ": ran, told", $4}
            $3 == "ok" && n[$1] < 1 {print "never", $1 ": did not run"}' "$W/runs" "$W/checked-$1"
    } >"$W/wrong-$1"
}
# results SEED NAME: how many requests had this result.
results() { awk -v r="$2" '$1 != "violation" && $3 == r {n++} END {print n + 0}' "$W/checked-$1"; }
wrong() { awk -v w="$2" '$1 == w {n++} END {print n + 0}' "$W/wrong-$1"; }
WRONG_KINDS="head id seal body framing idle twice refused never"
