# Shell functions of the cases: a small deployment on loopback addresses.
# Sourced from the root of the repository, with CASE set to the folder of the
# case. Needs bash, target/chestnutpaddled and what review/build.sh builds.

LAB=build/review/lab
DAEMON=target/chestnutpaddled
RECORD=$CASE/record.txt
W=$(mktemp -d)
# A network of its own, so that runs do not meet: all of 127/8 is loopback.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
STORE=$NET.250:7900
TROUBLE=${TROUBLE:-1}
: >"$RECORD"

could_not_run() {
    echo "could not run: $1"
    exit 2
}
for f in "$LAB" "$DAEMON" build/standin-platform; do
    [ -x "$f" ] || could_not_run "$f is missing, run review/build.sh"
done

# start NAME COMMAND...: starts a process in the background.
start() {
    name=$1
    shift
    "$@" >"$W/$name.out" 2>"$W/$name.err" &
    echo $! >"$W/$name.pid"
}
pid_of() { cat "$W/$1.pid"; }
# stop NAME SIGNAL: signals a process and waits for its end.
stop() {
    kill "-$2" "$(pid_of "$1")" 2>/dev/null
    wait "$(pid_of "$1")" 2>/dev/null
    rm -f "$W/$1.pid"
}
finish() {
    exec 2>/dev/null # the shell reports the kills late
    for f in "$W"/*.pid; do
        [ -f "$f" ] && kill -KILL "$(cat "$f")" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && cp -r "$W" "$KEEP"
    rm -rf "$W"
}
trap finish EXIT
note() { echo "$("$LAB" now) note $*" >>"$RECORD"; }
wait_for() { # SECONDS COMMAND...
    left=$(($1 * 20))
    shift
    while [ $left -gt 0 ]; do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
        left=$((left - 1))
    done
    return 1
}

start_store() {
    start store build/standin-platform "$STORE"
    wait_for 5 "$LAB" get "$STORE" /control || could_not_run "no store"
}

# host_ip NAME: the address of an entry host, by the number in its name.
host_ip() { echo "$NET.${1#h}"; }
# start_host NAME ZONE [STORE-ADDRESS [GRACE_S]]: as the deploy file says, with
# the settings of deploy/host.yaml. ZONES holds "zone:region" words.
start_host() {
    ip=$(host_ip "$1")
    domains=""
    for z in $ZONES; do
        domains="$domains  - name: \"${z%:*}\"
    region: \"${z#*:}\"
"
    done
    cat >"$W/$1.json" <<X
serve: routes
host: "$1"
domain: "$2"
caller: "$ip:8548"
directory: "$ip:8546"
ready: "$ip:8542"
control: "$ip:8544"
inner: "$ip:7540"
operator_listen: "$ip:7541"
platform: "http://${3:-$STORE}"
worker_threads: 1
max_requests: 2000
stop_timeout_s: ${4:-6}
first_start: false
report_interval_ms: 1500
neighbours: ["$NET.1:8544"]
domains:
$domains
X
    start "$1" "$DAEMON" -c "$W/$1.json"
}
is_ready() { "$LAB" get "$(host_ip "$1"):8542" /ready; }
wait_ready() {
    for h in "$@"; do
        wait_for 10 is_ready "$h" || could_not_run "$h is not ready"
    done
}
# knows_host HOST NAME ZONE: its directory names the other host.
knows_host() {
    "$LAB" get "$(host_ip "$1"):8546" "/resolve?name=a.example&region=r&zone=$3" |
        grep -q "\"$(host_ip "$2"):8548\""
}
metric() { # HOST NAME
    "$LAB" get "$(host_ip "$1"):7541" /metrics | awk -v n="$2" '$1 == n {print $2}'
}

# start_server INSTANCE LAST-OCTET WORK_MS: a server at $NET.OCTET:8000.
start_server() {
    echo ok >"$W/$1.mode"
    start "$1" "$LAB" server "$NET.$2:8000" "$1" "$3" "$W/$1.mode" "$RECORD"
}
# server_row INSTANCE SERVICE LAST-OCTET ZONE [STATE]: its entry in the store.
server_row() {
    "$LAB" put "$STORE" servers "$1" "{\"serviceName\":\"$2\",\"address\":\"$NET.$3:8000\",\"zone\":\"$4\",\"configVersion\":\"v1\",\"slots\":8,\"state\":\"${5:-ready}\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":1700000000000}" >>"$W/store.log"
}
remove_server_row() { "$LAB" remove "$STORE" servers "$1" >>"$W/store.log"; }
# route NAME PREFIX TYPE SERVICE [TIMEOUT_MS], service NAME, limits
# [IDLE_MS]: resources of the desired state.
route() {
    printf '{"resourceKind":"routes","metadata":{"name":"%s"},"spec":{"hostname":"a.example","prefix":"%s","routeType":"%s","timeoutMs":%s,"latencyGoalMs":1200,"priority":0,"serviceName":"%s","maxAttempts":2,"sessionAffinity":true,"homeRegions":[]}}' "$1" "$2" "$3" "${5:-4000}" "$4"
}
service() {
    printf '{"resourceKind":"services","metadata":{"name":"%s"},"spec":{"healthPath":"/health","maxConnections":660,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":3.6}}' "$1"
}
limits() {
    printf '{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":%s}}' "${1:-15000}"
}
# put_config VERSION RESOURCE...: writes a desired state.
put_config() {
    version=$1 all=""
    shift
    for r in "$@"; do all="$all${all:+,}$r"; done
    "$LAB" put "$STORE" op config "{\"configVersion\":$version,\"baseVersion\":1,\"resources\":[$all]}" >>"$W/store.log"
}
