# Shell functions that start, query and stop a cluster of processes on loopback.
# Sourced by the demo, the system tests and the benchmarks. Needs bash.
# B: build folder. W: work folder, created here; cleanup removes it unless KEEP
# is set.

W=${W:-$(mktemp -d)}
B=$(cd "${BUILD:-build}" && pwd)
# NET: a digit in all addresses, so that several clusters can run at once.
NET=${NET:-}
PLATFORM=127.${NET}1.0.1:7900

# spawn NAME COMMAND...: starts a process. Writes its process id to $W/NAME.pid,
# its output to $W/NAME.out and its errors to $W/NAME.log.
spawn() {
    spawn_name=$1
    shift
    "$@" >"$W/$spawn_name.out" 2>>"$W/$spawn_name.log" &
    echo $! >"$W/$spawn_name.pid"
}

pid_of() { cat "$W/$1.pid"; }

# end NAME [SIGNAL]: signals a process and waits for it; sets STATUS.
end() {
    exec 9>&2 2>/dev/null # suppresses the shell's report of the kill
    kill "-${2:-TERM}" "$(pid_of "$1")"
    wait "$(pid_of "$1")"
    STATUS=$?
    exec 2>&9 9>&-
}

# cleanup [SIGNAL]: ends the jobs of this shell that it has not waited for, and
# only these, as the id of an ended process may have been reused. Discards standard
# error until the script exits, as the shell may report the kills late.
cleanup() {
    exec 2>/dev/null
    for p in $(jobs -p); do kill -CONT "$p"; done
    for p in $(jobs -pr); do kill "-${1:-KILL}" "$p"; done
    wait
    [ -n "${KEEP:-}" ] || rm -rf "$W"
    return 0
}

# cp_cli COMMAND [ARGUMENTS]: runs the command-line tool on this cluster.
cp_cli() {
    cp_command=$1
    shift
    "$B/chestnutpaddle" "$cp_command" "$@" --platform "http://$PLATFORM" \
        --token-file "$W/token"
}

# wait_for SECONDS COMMAND...: repeats the command every 50 ms until it succeeds;
# fails after SECONDS, not counting the time that the command itself takes.
wait_for() {
    wait_left=$(($1 * 20))
    shift
    while [ "$wait_left" -gt 0 ]; do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
        wait_left=$((wait_left - 1))
    done
    return 1
}

# make_config TEMPLATE [SED]: writes the questionnaire's answers, edited by SED,
# and the configuration and host settings generated from them to $W.
make_config() {
    head -c 32 /dev/urandom >"$W/key"
    echo "token-$$" >"$W/token"
    "$B/chestnutpaddle" init "$1" -o "$W/answers.yaml" || return 1
    [ -z "${2:-}" ] || sed -i -e "$2" "$W/answers.yaml"
    sed -i "s/127\.\([123]\)\./127.${NET}\1./" "$W/answers.yaml"
    "$B/chestnutpaddle" generate "$W/answers.yaml" -o "$W/config.yaml" \
        --settings "$W/hosts" --platform "http://$PLATFORM" \
        --key-file "$W/key" --token-file "$W/token"
}

start_platform() {
    spawn platform "$B/standin-platform" "$PLATFORM"
    wait_for 5 curl -s "http://$PLATFORM/control"
}

# platform_mode MODE [MS]: sets the fault mode of the platform stand-in.
platform_mode() { curl -s -X POST "http://$PLATFORM/control?mode=$1&ms=${2:-0}" >/dev/null; }

# store_put TABLE KEY VALUE, store_remove TABLE KEY: change a row of the store
# without a precondition and print the HTTP status.
STORE_TIMEOUT_S=${STORE_TIMEOUT_S:-10}
store_put() {
    store_call "{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(printf %s "$3" | base64 -w0)\"}" ""
}
store_remove() { store_call "" "{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\"}"; }
# store_call WRITES REMOVALS: JSON rows, without the brackets.
store_call() {
    curl -s -m "$STORE_TIMEOUT_S" -o /dev/null -w '%{http_code}' -X POST "http://$PLATFORM/rows-tx" \
        --data-binary "{\"precondition\":[],\"writes\":[$1],\"remove\":[$2]}"
}
# put_row, remove_row: the same, without the status.
put_row() { store_put "$@" >/dev/null; }
remove_row() { store_remove "$@" >/dev/null; }

# Print the servers and hosts of the generated configuration, one on each line:
# ADDRESS DOMAIN POOL SLOTS NAME, and NAME DOMAIN CALLER INNER OPERATOR.
servers_of_config() {
    awk '/^servers:/ {on = 1; next} /^[a-z]/ {on = 0}
        on && /name:/ {gsub(/"/, ""); name = $NF}
        on && /domain:/ {gsub(/"/, ""); dom = $2}
        on && /address:/ {gsub(/"/, ""); addr = $2}
        on && /pool:/ {gsub(/"/, ""); pool = $2}
        on && /slots:/ {print addr, dom, pool, $2, name}' "$W/config.yaml"
}

hosts_of_config() {
    awk '/^hosts:/ {on = 1; next} /^[a-z]/ {on = 0}
        on && /name:/ {gsub(/"/, ""); name = $NF}
        on && /domain:/ {gsub(/"/, ""); dom = $2}
        on && /caller:/ {gsub(/"/, ""); caller = $2}
        on && /inner:/ {gsub(/"/, ""); inner = $2}
        on && /operator_listen:/ {gsub(/"/, ""); print name, dom, caller,
            inner, $2}' "$W/config.yaml"
}

# service_ms POOL: service time of the stand-in servers; scripts may redefine it.
service_ms() { echo 5; }


start_host() { spawn "$1" "$B/chestnutpaddled" -c "$W/hosts/$1.yaml"; }

# Starts every host and waits until its operator address accepts connections.
start_hosts() {
    hosts_of_config >"$W/hostlist"
    while read -r name _; do start_host "$name"; done <"$W/hostlist"
    while read -r _ _ _ _ oper; do
        wait_for 10 curl -s "http://$oper/none" || return 1
    done <"$W/hostlist"
}

# host_field NAME COLUMN, server_field NAME COLUMN: a column of the host or
# server list.
host_field() { awk -v n="$1" -v f="$2" '$1 == n {print $f}' "$W/hostlist"; }
caller_of() { host_field "$1" 3; }
operator_of() { host_field "$1" 5; }
server_field() { awk -v n="$1" -v f="$2" '$5 == n {print $f}' "$W/servers"; }

host_status() {
    curl -s -H "Authorization: Bearer $(cat "$W/token")" \
        "http://$(operator_of "$1")/status"
}

# version_of HOST: version of the configuration that the host has in force.
version_of() { host_status "$1" | sed -n 's/^ "version": \([0-9]*\),*/\1/p'; }

# counter HOST NAME: value of a counter metric.
counter() {
    curl -s -H "Authorization: Bearer $(cat "$W/token")" \
        "http://$(operator_of "$1")/metrics" |
        awk -v n="chestnutpaddle_$2_total" '$1 == n {print $2}'
}

# sum_stat FIELD: sum of a statistic over all stand-in backend servers.
sum_stat() {
    curl -s "http://$FIRST_SERVER/stats" | tr '{' '\n' |
        sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" |
        awk '{s += $1} END {print s + 0}'
}

# wait_slots N [SECONDS]: waits until the hosts together report at least N slots.
wait_slots() {
    wait_for "${2:-10}" has_slots "$1"
}
has_slots() {
    slots_now=$(cp_cli status | awk 'NR > 1 {s += $6} END {print s + 0}')
    [ "$slots_now" -ge "$1" ]
}
total_slots() { awk '{s += $4} END {print s}' "$W/servers"; }

# start_cluster TEMPLATE [SED]: starts platform, servers and hosts, applies the
# configuration, and waits until each host reports every host live.
start_cluster() {
    trap cleanup EXIT
    make_config "$1" "${2:-}" && start_platform && start_servers &&
        start_hosts && cp_cli apply "$W/config.yaml" >"$W/apply.out" &&
        wait_slots "$(total_slots)" && wait_for 10 all_live
}
# Lookups are rendered from the membership every 200 ms, so they may lag it.
LOOKUP_LAG_S=0.5
# Succeeds when each host reports every host live.
all_live() {
    while read -r live_host _; do
        live_count=$(host_status "$live_host" | grep -c '"state": "live"')
        [ "$live_count" = $(($(wc -l <"$W/hostlist") + 1)) ] || return 1
        curl -s "http://$(caller_of "$live_host")/none" >/dev/null || return 1
    done <"$W/hostlist"
    sleep "$LOOKUP_LAG_S"
}

# --- fault proxy between callers, hosts and servers -------------------------
# Callers connect to hosts at 127.5.x.y, hosts to each other at 127.6.x.y and to
# backend servers at 127.7.x.y. The proxy keeps the source address.
FAULT_CONTROL=127.${NET}1.0.2:7901
# The proxy's address for the platform; scripts set it in a host's settings.
STORE_ROUTE=127.${NET}6.0.1:7900

# Replaces the addresses in the configuration and settings by the proxy's; the
# real ones are kept in $W/hosts.real and $W/servers.real.
use_fault_proxy() {
    hosts_of_config >"$W/hosts.real"
    servers_of_config >"$W/servers.real"
    sed -i -e "s/caller: \"127\.${NET}1\./caller: \"127.${NET}5./" \
        -e "s/inner: \"127\.${NET}1\./inner: \"127.${NET}6./" \
        -e "s/address: \"127\.${NET}2\./address: \"127.${NET}7./" \
        "$W/config.yaml"
    sed -i "s/^  - 127\.${NET}1\./  - 127.${NET}6./" "$W"/hosts/*.yaml
}

start_fault_proxy() {
    proxy_routes="$STORE_ROUTE=$PLATFORM"
    while read -r _ _ caller inner _; do
        proxy_routes="$proxy_routes 127.${NET}5.${caller#127."${NET}"1.}=$caller"
        proxy_routes="$proxy_routes 127.${NET}6.${inner#127."${NET}"1.}=$inner"
    done <"$W/hosts.real"
    while read -r addr _; do
        proxy_routes="$proxy_routes 127.${NET}7.${addr#127."${NET}"2.}=$addr"
    done <"$W/servers.real"
    # shellcheck disable=SC2086
    spawn fault "$B/standin-fault" "$FAULT_CONTROL" $proxy_routes
    wait_for 5 curl -s "http://$FAULT_CONTROL/fault?mode=none"
}

# fault MODE [ROUTE] [FROM] [ARG]: adds a rule to the proxy, for connections from
# the IP FROM; "fault clear" removes all rules.
fault() {
    curl -s -X POST "http://$FAULT_CONTROL/fault?mode=$1&route=${2:-}&from=${3:-}&arg=${4:-0}" >/dev/null
}

# IP of a host, and the proxy's addresses for its inner and caller listeners.
ip_of() { awk -v n="$1" '$1 == n {sub(/:.*/, "", $3); print $3}' "$W/hosts.real"; }
inner_route() { echo "127.${NET}6.$(ip_of "$1" | cut -d. -f3-):7100"; }
caller_route() { echo "127.${NET}5.$(ip_of "$1" | cut -d. -f3-):7000"; }

# cut_hosts A B [MODE]: cuts the connections between two hosts in both
# directions; "fault clear" restores them.
cut_hosts() {
    fault "${3:-cut}" "$(inner_route "$1")" "$(ip_of "$2")"
    fault "${3:-cut}" "$(inner_route "$2")" "$(ip_of "$1")"
}

start_servers() {
    [ -f "$W/servers.real" ] || servers_of_config >"$W/servers.real"
    cp "$W/servers.real" "$W/servers"
    server_args=""
    while read -r addr dom pool slots _; do
        server_args="$server_args $addr,$dom,$slots,$(service_ms "$pool")"
    done <"$W/servers"
    # shellcheck disable=SC2086
    spawn servers "$B/standin-server" $server_args
    FIRST_SERVER=$(head -1 "$W/servers" | cut -d' ' -f1)
    wait_for 5 curl -s "http://$FIRST_SERVER/health"
}

# start_faulty_cluster TEMPLATE [SED] [CONFIG-SED]: start_cluster with the fault
# proxy between the processes. CONFIG-SED edits the generated configuration.
start_faulty_cluster() {
    trap cleanup EXIT
    make_config "$1" "${2:-}" && use_fault_proxy || return 1
    [ -z "${3:-}" ] || sed -i -e "$3" "$W/config.yaml"
    start_platform && start_servers && start_fault_proxy || return 1
    cp "$W/hosts.real" "$W/hostlist"
    for name in $(cut -d' ' -f1 "$W/hostlist"); do start_host "$name"; done
    for operator in $(cut -d' ' -f5 "$W/hostlist"); do
        wait_for 10 curl -s "http://$operator/none" || return 1
    done
    cp_cli apply "$W/config.yaml" >"$W/apply.out" &&
        wait_slots "$(total_slots)" && wait_for 20 all_live
}

# server_route ADDRESS: the proxy's address for a backend server.
server_route() { echo "127.${NET}7.${1#127."${NET}"2.}"; }

# load NAME: runs the load experiment on standard input, with its addresses
# adapted to NET. Writes the report to $W/NAME.json and keys to $W/NAME.keys.
load() {
    sed "s/127\.\([123]\)\./127.${NET}\1./g" >"$W/$1.exp"
    "$B/chestnutpaddle-load" "$W/$1.exp" --keys "$W/$1.keys" \
        --series "$W/$1.csv" --json >"$W/$1.json"
}

# load_field NAME FLOW FIELD: a figure of one flow of a load report.
load_field() {
    awk -v f="\"$2\"" -v k="\"$3\":" '
        $1 == "\"flow\":" {on = index($2, f) == 1}
        on && $1 == k {sub(/,$/, "", $2); print $2}' "$W/$1.json"
}

# check_keys KEYS: compares the effects of each key with the verdicts that its
# callers received. A key has a line for each attempt. It must not have run if
# every attempt was refused as "not run", must have run once if any response
# reported that it ran, and must never have run twice.
check_keys() {
    curl -s "http://$FIRST_SERVER/doubled?all=1" >"$W/effects"
    awk 'NR == FNR {n[$1] = $2; next}
        {verdicts[$1] = verdicts[$1] " " $2}
        END {
            for (k in verdicts) {
                c = (k in n) ? n[k] : 0
                if (c > 1) doubled++
                if (verdicts[k] !~ /may|ran/ && c > 0) false_not_run++
                if (verdicts[k] ~ / ran/ && c != 1) lost++
            }
            printf "doubled %d, not-run but ran %d, ran but not %d\n",
                doubled, false_not_run, lost}' "$W/effects" "$1"
}
