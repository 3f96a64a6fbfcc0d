#!/bin/sh
# Builds what the scripts of the cases start beside the daemon: the project's
# stand-in of the store, and the review's own server, proxy and client.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/standin-platform
mkdir -p build/review
"${CC:-cc}" -std=c11 -O2 -Wall -Wextra -pthread -o build/review/lab review/tools/lab.c
