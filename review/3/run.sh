#!/bin/bash
# A server leaves without reporting "draining" (its entry is removed) within the
# second in which the two hosts of a zone that follow the store are killed and
# start again. A third host of the zone, which is never disturbed, reads the
# table from them. Looks for requests from it that reach the server later than
# drainMs after the confirmation of its leaving.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/3
. review/tools/common.sh
ZONES="za:r1 zb:r2"
DRAIN_MS=2000

start_store
start_server i-old 101 600
start_server i-new 102 600
start_server i-far 103 600
server_row i-old s1 101 za
server_row i-far s1 103 zb
put_config 5 "$(route pay /pay/ non_idempotent s1)" "$(service s1)" "$(limits)"
start_host h1 za
start_host h2 za
start_host h3 za
start_host h4 zb
wait_ready h1 h2 h3 h4
for h in h1 h2 h3; do wait_for 10 knows_host h3 $h za || could_not_run "h3 does not know $h"; done
# h3 ends the long poll that it began before it knew the others.
start_server i-more 104 600
server_row i-more s1 104 zb
sleep 4 # all hosts have been in touch for contactMs

if [ "$TROUBLE" != 0 ]; then
    note "the processes of h1 and h2 are killed"
    stop h1 KILL
    stop h2 KILL
    sleep 0.1
fi
# A release: the new server first, then the old one leaves.
server_row i-new s1 102 za
sleep 0.05
remove_server_row i-old
removed=$("$LAB" now)
note "i-old is leaving: the store has confirmed the removal of its entry"
if [ "$TROUBLE" != 0 ]; then
    sleep 0.15
    start_host h1 za
    start_host h2 za
    note "the processes of h1 and h2 are started again"
fi
echo leave >"$W/i-old.mode"
sleep 3.5
note "clients send to h3; i-old is still serving"
"$LAB" load "$(host_ip h3):8548" POST /pay/1 a.example c 20 1 4000 "$RECORD" &
load=$!
sleep 0.9
note "i-old exits"
stop i-old TERM
wait $load

awk -v removed="$removed" -v bound="$DRAIN_MS" '
    $2 == "arrived" && $4 == "i-old" && $1 > removed + bound {late++; at[$3] = $1 - removed}
    $2 == "answer" {n++; status[$3] = $4}
    END {
        for (id in at) print "request " id " reached i-old " at[id] " ms after the confirmation; the client got " status[id]
        print n " requests to h3, " late + 0 " reached the server that had left"
        exit n < 20 ? 2 : late > 0
    }' "$RECORD"
