#!/bin/bash
# A host is cut off from the store for 5 s; meanwhile a server leaves without
# reporting "draining" (its entry is removed). A second after the cut its
# connections to the store are reset once. Looks for requests that the host, in
# touch again, sends to that server later than drainMs after the confirmation.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/5
. review/tools/common.sh
ZONES="za:r1 zb:r2"
DRAIN_MS=2000
CONTACT_S=3
PROXY=$NET.251:7900

start_store
echo ok >"$W/proxy.mode"
start proxy "$LAB" proxy "$PROXY" "$STORE" "$W/proxy.mode"
start_server i-old 101 600
start_server i-more 102 600
start_server i-far 103 600
server_row i-old s1 101 za
server_row i-more s1 102 za
server_row i-far s1 103 zb
put_config 5 "$(route pay /pay/ non_idempotent s1)" "$(service s1)" "$(limits)"
start_host h1 za "$PROXY"
start_host h2 zb
wait_ready h1 h2
sleep 4

if [ "$TROUBLE" != 0 ]; then
    note "h1 is cut off from the store"
    echo hold >"$W/proxy.mode"
    sleep 1
fi
remove_server_row i-old
removed=$("$LAB" now)
echo leave >"$W/i-old.mode"
note "i-old is leaving: the store has confirmed the removal of its entry"
if [ "$TROUBLE" != 0 ]; then
    sleep 4
    echo ok >"$W/proxy.mode"
    note "the cut has ended"
    sleep 1
    stop proxy KILL
    sleep 0.1
    start proxy "$LAB" proxy "$PROXY" "$STORE" "$W/proxy.mode"
    note "the connections of h1 to the store were reset"
fi
sleep $CONTACT_S
sleep 0.6
note "clients send to h1, which is in touch; i-old is still serving"
"$LAB" load "$(host_ip h1):8548" POST /pay/1 a.example c 20 1 4000 "$RECORD" &
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
        print n " requests to h1, " late + 0 " reached the server that had left"
        exit n < 20 ? 2 : late > 0
    }' "$RECORD"
