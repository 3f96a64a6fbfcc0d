# Sourced by run.sh of the cases: starts the store and the hosts, and ends what
# was started. CASE: the folder of the case; HOSTS: names, e.g. "na-1 wa-1".
cd "$CASE/../.." || exit 2
W=$(mktemp -d) || exit 2
RECORD=$CASE/record.txt
STORE=127.31.0.1:7900
PIDS=""
export RECORD

ip_of() {
    case $1 in
    na-1) echo 127.31.1.1 ;; na-2) echo 127.31.1.2 ;;
    nb-1) echo 127.31.2.1 ;; wa-1) echo 127.31.3.1 ;;
    esac
}

# settings NAME FIRST-START: as deploy/host.yaml gives them on a small
# deployment: 182 MB, graceS 6, status reports each 1500 ms.
settings() {
    ip=$(ip_of "$1")
    cat <<X
serve: routes
host: "$1"
domain: "${1%-*}"
caller: "$ip:7000"
directory: "$ip:7001"
ready: "$ip:7002"
control: "$ip:7004"
inner: "$ip:7540"
operator_listen: "$ip:7541"
platform: "http://$STORE"
worker_threads: 1
max_requests: 2000
memory_limit_mb: 182
stop_timeout_s: 6
first_start: $2
report_interval_ms: 1500
${EXTRA_SETTINGS:-}
neighbours: ["127.31.1.1:7004","127.31.3.1:7004"]
domains:
  - name: "na"
    region: "north"
  - name: "nb"
    region: "north"
  - name: "wa"
    region: "west"
X
}

start_host() { # NAME FIRST-START
    settings "$1" "$2" >"$W/$1.yaml"
    CHESTNUTPADDLE_CONFIG=$W/$1.yaml target/chestnutpaddled -c "$W/$1.yaml" >>"$W/$1.out" 2>>"$W/$1.log" &
    PIDS="$PIDS $!"
    eval "PID_$(echo "$1" | tr - _)=$!"
    export "PID_$(echo "$1" | tr - _)"
}

finish() { # STATUS
    for p in $PIDS; do kill -CONT "$p"; kill -KILL "$p"; done 2>/dev/null
    wait 2>/dev/null
    if [ -n "${KEEP:-}" ]; then echo "logs in $W" >&2; else rm -rf "$W"; fi
    exit "$1"
}
trap 'finish 2' INT TERM

start_all() {
    [ -x target/chestnutpaddled ] && [ -x build/standin-platform ] || finish 2
    build/standin-platform "$STORE" >"$W/store.out" 2>&1 &
    PIDS="$PIDS $!"
    for h in $HOSTS; do start_host "$h" true; done
}
