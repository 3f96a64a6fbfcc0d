# Shell functions for a cluster that serves routes, with stand-ins that implement
# the platform's protocol. Sourced after tools/cluster.sh.

# Two regions: north with the failure domains na and nb, west with wa. Each
# domain has one host, na a second one.
ROUTE_DOMAINS="na:north nb:north wa:west"
ROUTE_HOSTS="na-1 na-2 nb-1 wa-1"
ip_of_host() {
    case $1 in
    na-1) echo "127.${NET}1.1.1" ;; na-2) echo "127.${NET}1.1.2" ;;
    nb-1) echo "127.${NET}1.2.1" ;; wa-1) echo "127.${NET}1.3.1" ;;
    esac
}

# host_settings NAME: writes the settings file of a host.
host_settings() {
    ip=$(ip_of_host "$1")
    mkdir -p "$W/hosts"
    cat >"$W/hosts/$1.yaml" <<X
serve: routes
host: "$1"
domain: "${1%-*}"
caller: "$ip:7000"
directory: "$ip:7001"
ready: "$ip:7002"
control: "$ip:7004"
neighbours:
  - $(ip_of_host na-1):7004
  - $(ip_of_host wa-1):7004
inner: "$ip:7100"
operator_listen: "$ip:7003"
platform: "http://$PLATFORM"
worker_threads: 2
stop_timeout_s: 4
revocation_bound_ms: ${REVOCATION_BOUND_MS:-0}
domains:
$(for d in $ROUTE_DOMAINS; do printf '  - name: "%s"\n    region: "%s"\n' "${d%:*}" "${d#*:}"; done)
X
}

# server_row INSTANCE SERVICE ADDRESS DOMAIN SLOTS STATE SEQUENCE [WARMUP-MS]:
# puts a server's entry in the store.
server_row() {
    put_row servers "$1" "{\"serviceName\":\"$2\",\"address\":\"$3\",\"zone\":\"$4\",\"configVersion\":\"v1\",\"slots\":$5,\"state\":\"$6\",\"warmupLeftMs\":${8:-0},\"sequence\":$7}"
}

# route_json NAME HOSTNAME PREFIX TYPE TIMEOUT-MS SERVICE, service_json NAME:
# print a resource of the configuration.
route_json() {
    printf '{"resourceKind":"routes","metadata":{"name":"%s"},"spec":{"hostname":"%s","prefix":"%s","routeType":"%s","timeoutMs":%s,"latencyGoalMs":500,"priority":0,"serviceName":"%s","maxAttempts":2,"sessionAffinity":true,"homeRegions":[]}}' "$@"
}
service_json() {
    printf '{"resourceKind":"services","metadata":{"name":"%s"},"spec":{"healthPath":"/health","maxConnections":660,"protocol":"h1","tls":false,"warmupS":1.0,"warmupPerS":10}}' "$1"
}
# org_json NAME KEYS [FIELDS]: prints an organisation; KEYS and FIELDS are JSON,
# separated by commas.
org_json() {
    printf '{"resourceKind":"tenants","metadata":{"name":"%s"},"spec":{"apiKeys":[%s]%s}}' "$1" "$2" "${3:+,$3}"
}
# public_json: makes the route on standard input public.
public_json() { sed 's/"spec":{/"spec":{"public":true,/'; }
# put_config VERSION [RESOURCE...]: puts a configuration in the store, with the
# routes /read/ and /pay/, the services s1 and s2 and the given resources.
# MAX_BODY_BYTES is the limit of a request's body.
put_config() {
    version=$1
    shift
    all="$(route_json read a.example /read/ idempotent 1500 s1),$(route_json pay a.example /pay/ non_idempotent 1500 s1),$(service_json s1),$(service_json s2)"
    for r in "$@"; do all="$all,$r"; done
    put_row op config "{\"configVersion\":$version,\"baseVersion\":1,\"resources\":[$all,{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":${MAX_BODY_BYTES:-1000},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}"
}

# put_single_config TIMEOUT-MS: puts configuration 5, in which the server i-3
# alone serves /get2/ and /pay2/.
put_single_config() {
    server_row i-3 s2 "$S3" wa 4 ready 2
    put_config 5 "$(route_json get2 a.example /get2/ idempotent "$1" s2)" "$(route_json pay2 a.example /pay2/ non_idempotent "$1" s2)"
}

S1=127.${NET}2.1.1:8000 S2=127.${NET}2.1.2:8000 S3=127.${NET}2.3.1:8000
start_routed_servers() {
    spawn routed "$B/standin-routed" "$S1,i-1,4,20" "$S2,i-2,4,20" "$S3,i-3,4,20"
    wait_for 5 curl -s "http://$S1/stats"
    server_row i-1 s1 "$S1" na 4 ready 1
    server_row i-2 s1 "$S2" nb 4 ready 1
    server_row i-3 s1 "$S3" wa 4 ready 1
}

start_route_hosts() {
    for h in $ROUTE_HOSTS; do host_settings "$h"; start_host "$h"; done
    for h in $ROUTE_HOSTS; do
        wait_for 10 curl -s "http://$(ip_of_host "$h"):7003/metrics" || return 1
    done
}

# is_ready HOST: succeeds when the readiness endpoint returns 200.
is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(ip_of_host "$1"):7002/ready")" = 200 ]; }
all_ready() { for h in $ROUTE_HOSTS; do is_ready "$h" || return 1; done; }
# is_current HOST: succeeds when the host's copy of the configuration is confirmed, so
# that it denies what that lacks.
is_current() { send_request "$1" "u$RANDOM$RANDOM" GET /none/1 | grep -q ^404; }
# Succeeds when every host's directory lists the first host of each domain for
# callers there, as the hosts then have each other in their membership.
all_known() {
    for h in $ROUTE_HOSTS; do
        for z in na nb wa; do
            curl -s "http://$(ip_of_host "$h"):7001/resolve?name=a.example&region=x&zone=$z" |
                grep -q "$(ip_of_host "$z-1"):7000" || return 1
        done
    done
}
# reads_from_na1: waits until na-2, which is no watching host, knows na-1, and
# ends the long polls that it began before: it then reads all tables from na-1.
reads_from_na1() {
    wait_for 3 eval 'curl -s "http://$(ip_of_host na-2):7001/resolve?name=a.example&region=x&zone=na" | grep -q "$(ip_of_host na-1):7000"' || return 1
    sleep 2
    put_config 6
    server_row i-5 s2 127.${NET}2.1.9:8000 nb 4 ready 1
    put_row hosts nobody '{}'
    sleep 2
}
# answers: waits until /get2/ is served after failures.
answers() { wait_for 8 eval '[ "$(send_request na-1 b$RANDOM GET /get2/1 | cut -c1-3)" = 200 ]' && echo "answers again"; }
# metric HOST NAME: value of a metric.
metric() { curl -s "http://$(ip_of_host "$1"):7003/metrics" | awk -v n="$2" '$1 == n {print $2}'; }
has_version() { [ "$(metric "$1" chestnutpaddle_routes_version)" = "$2" ]; }
all_have_version() { for h in $ROUTE_HOSTS; do has_version "$h" "$1" || return 1; done; }

# send_request HOST ID METHOD PATH [CURL ARGUMENTS]: prints the status and the
# first 60 bytes of the body. REQUEST_HOSTNAME is its Host header,
# REQUEST_OBJECT its affinity key. REQUEST_FILE is a suffix of the files that
# hold head and body, for requests sent in parallel.
send_request() {
    request_host=$(ip_of_host "$1") request_id=$2 request_method=$3 request_path=$4
    shift 4
    curl -s -m 5 -D "$W/head${REQUEST_FILE:-}" -o "$W/body${REQUEST_FILE:-}" -w '%{http_code}' -X "$request_method" \
        -H "Host: ${REQUEST_HOSTNAME:-a.example}" -H "Chestnutpaddle-Attempt-Id: $request_id" \
        -H "Chestnutpaddle-Timeout-Ms: ${REQUEST_TIMEOUT_MS:-3000}" \
        -H "Cookie: Chestnutpaddle-Affinity-Key=${REQUEST_OBJECT:-7}" "$@" \
        "http://$request_host:7000$request_path"
    echo " $(tr -d '\r\n' <"$W/body${REQUEST_FILE:-}" | cut -c1-60)"
}
# modes MODE [MS]: sets the mode and service time of all stand-in servers.
modes() { for mode_address in "$S1" "$S2" "$S3"; do curl -s "http://$mode_address/control?mode=$1${2:+&ms=$2}" >/dev/null; done; }
# count_runs ID: how often a request ran. last_timeout_ms ID: the timeout of its
# last attempt. route_stat FIELD: a statistic over all stand-in servers.
count_runs() { curl -s "http://$S1/ran?id=$1"; }
# head_of ID: the headers of its last attempt, if it had the header X-Record.
head_of() { curl -s "http://$S1/head?id=$1"; }
last_timeout_ms() { curl -s "http://$S1/told?id=$1"; }
route_stat() { curl -s "http://$S1/stats" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }
