#!/bin/sh
# Plays the case once; with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
# The stand-in ends its nodes itself; their process ids are needed only if it is killed.
clean() {
    kill -9 "$standin" 2>/dev/null
    [ -f "$folder/pids" ] && xargs kill -9 <"$folder/pids" 2>/dev/null
    rm -rf "$folder"
    exit 2
}
standin=
trap clean INT TERM HUP
target/review-2/release/review-standin-2 broken-off "$folder" review/8/record.txt &
standin=$!
wait "$standin"
code=$?
[ "$code" -gt 2 ] && clean
rm -rf "$folder"
exit "$code"
