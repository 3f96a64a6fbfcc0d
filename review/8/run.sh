#!/bin/sh
# LOST: a request runs and its connection ends without an answer.
CASE=$(cd "$(dirname "$0")" && pwd)
HOSTS="na-1 wa-1"
. "$CASE/../tools-2/common.sh"
start_all
build/review-2/case8
finish $?
