#!/bin/bash
# The operator's new desired state moves a route to another service and adds a
# route whose name has 51 characters. Then all hosts are killed and start again.
# Looks for requests that are handled as only the old version allows later than
# convergeMs, and for hosts that serve nothing later than recoverS.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/5
. review/tools/common.sh
ZONES="za:r1 zb:r2"
CONVERGE_MS=2000 RECOVER_S=15
new_name=reorders-write
[ "$TROUBLE" != 0 ] && new_name=checkout-reorders-write-path-th-north-canary-region

start_store
start_server i-a 101 20
start_server i-b 102 20
server_row i-a s1 101 za
server_row i-b s2 102 zb
put_config 5 "$(route pay /pay/ non_idempotent s1)" "$(service s1)" "$(service s2)" "$(limits)"
start_host h1 za
start_host h2 zb
wait_ready h1 h2
sleep 3

send() { # HOST ID PATH
    "$LAB" call "$(host_ip "$1"):8548" POST "$3" a.example "$2" 4000 "$RECORD" amount=5 "$2" >/dev/null
}
round() { # PREFIX
    for i in 1 2 3; do
        for h in h1 h2; do
            send $h "$1-pay-$h-$i" /pay/1
            [ "$1" = before ] || send $h "$1-new-$h-$i" /new/1
        done
    done
}
round before
put_config 6 "$(route pay /pay/ non_idempotent s2)" \
    "$(route "$new_name" /new/ non_idempotent s2)" "$(service s1)" "$(service s2)" "$(limits)"
confirmed=$("$LAB" now)
note "version 6 is confirmed: /pay/ goes to s2 (i-b), the route $new_name is added"
sleep 4
round changed
note "all hosts are killed and start again"
stop h1 KILL
stop h2 KILL
start_host h1 za
start_host h2 zb
sleep $((RECOVER_S + 1))
round back

awk -v confirmed="$confirmed" -v bound="$CONVERGE_MS" '
    $2 == "sent" {at[$3] = $1}
    $2 == "ran" {by[$3] = $4}
    $2 == "answer" {
        n++
        if ($3 ~ /^(changed|back)/ && at[$3] > confirmed + bound) {
            if (by[$3] == "i-a") {old++; print "request " $3 ": run by the old service"}
            if ($4 == 404) {old++; print "request " $3 ": 404, though the route is there"}
        }
        if ($3 ~ /^back/) {back++; served += $4 == 200}
    }
    END {
        print n " requests, " old + 0 " handled as only the old version allows; " served + 0 " of " back " served after the restart"
        exit n < 30 ? 2 : old > 0 || served * 4 < back
    }' "$RECORD"
