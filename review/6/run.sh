#!/bin/sh
# MIXED: an answer that breaks off reaches the client as a complete success.
CASE=$(cd "$(dirname "$0")" && pwd)
HOSTS="na-1 na-2 nb-1 wa-1"
. "$CASE/../tools-2/common.sh"
start_all
build/review-2/case6
finish $?
