#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
finish() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
RECORD=review/12/record.txt timeout 110 \
    target/review-3/release/jujubewall-review-3 false-promise "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
