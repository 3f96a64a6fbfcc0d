#!/bin/bash
# Servers break off their answers inside the head: after the status line, or
# after the lines with the id and the seal. The connection ends in order or by a
# reset. Looks for clients that get a complete success.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/1
. review/tools/common.sh
ZONES="za:r1 zb:r2"

start_store
for i in 1 2 3 4; do
    start_server i-$i 10$i 20
    server_row i-$i s1 10$i za
done
put_config 5 "$(route pay /pay/ non_idempotent s1)" \
    "$(route read /read/ idempotent s1)" "$(service s1)" "$(limits)"
start_host h1 za
start_host h2 zb
wait_ready h1 h2
sleep 3

send() { # HOST ID METHOD PATH
    "$LAB" call "$(host_ip "$1"):8548" "$3" "$4" a.example "$2" 4000 "$RECORD" \
        "$([ "$3" = POST ] && echo amount=5)" "$2" >/dev/null
}
round() { # PREFIX
    for i in 1 2 3 4; do
        send h1 "$1-pay$i" POST /pay/1
        send h2 "$1-read$i" GET /read/1
    done
}
set_mode() { for i in 1 2 3 4; do echo "$1" >"$W/i-$i.mode"; done; }
round calm
if [ "$TROUBLE" != 0 ]; then
    for mode in cut1 cut3 reset1 reset3; do
        note "the servers break off their answers: $mode"
        set_mode $mode
        round $mode
        set_mode ok
        sleep 4 # until servers that were ejected are used again
    done
fi
round after

awk '$2 == "ran" {ran[$3]++}
    $2 == "answer" {
        n++
        calm += $3 ~ /^(calm|after)/ && $4 == 200 && $5 != "-"
        if ($3 ~ /^(cut|reset)/ && $4 >= 200 && $4 < 300) {
            wrong++
            print "request " $3 ": no server sent a whole head, the client got " $4 " with the seal " $5
        }
    }
    END {
        print n " requests, " wrong + 0 " complete successes from answers that ended in the head"
        exit calm < 14 ? 2 : wrong > 0
    }' "$RECORD"
