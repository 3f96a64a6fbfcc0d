#!/bin/bash
# A server runs requests and answers 429 or 408 of its own, sealed and without
# Chestnutpaddle-Not-Executed; or it is faulty and its answer begins with a
# status 101 that nobody asked for. Looks for a success that no server gave.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/2
. review/tools/common.sh
ZONES="za:r1 zb:r2"

start_store
start_server i-1 101 20
server_row i-1 s1 101 za
put_config 5 "$(route pay /pay/ non_idempotent s1)" \
    "$(route read /read/ idempotent s1)" "$(service s1)" "$(limits)"
start_host h1 za
start_host h2 zb
wait_ready h1 h2

send() { # HOST ID METHOD PATH
    "$LAB" call "$(host_ip "$1"):8548" "$3" "$4" a.example "$2" 4000 "$RECORD" \
        "$([ "$3" = POST ] && echo amount=5)" "$2" >/dev/null
}
round() { # PREFIX
    for i in 1 2 3; do
        send h1 "$1-pay$i" POST /pay/1
        send h2 "$1-read$i" GET /read/1
    done
}
round calm
if [ "$TROUBLE" != 0 ]; then
    for status in 429 408 101; do
        note "the server answers $status from now on"
        echo $status >"$W/i-1.mode"
        round "s$status"
    done
    echo ok >"$W/i-1.mode"
fi
round after

awk '$2 == "ran" {ran[$3] = $5}
    $2 == "answer" {
        n++
        if ($4 >= 200 && $4 < 300 && ($5 == "-" || ran[$3] != $4)) {
            wrong++
            print "request " $3 ": its server answered " ran[$3] ", the client got " $4 " with the seal " $5
        }
    }
    END {
        print n " requests, " wrong + 0 " successes without the seal of a server that succeeded"
        exit n < 12 ? 2 : wrong > 0
    }' "$RECORD"
