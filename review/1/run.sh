#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption. Build before: the deploy file's build and review/build.sh.
set -u
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
work=$(mktemp -d) || exit 2
standin=
stop() {
  # The stand-in ends its processes by itself, unless it was killed or interrupted.
  [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
  if [ -f "$work/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$work/pids"
  fi
  [ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 2' INT TERM
target/review/release/review_standin "$case" "$work" "review/$case/record.txt" &
standin=$!
wait "$standin"
code=$?
standin=
# Any other end, such as a kill, means that the case did not run.
[ "$code" -le 1 ] || code=2
exit "$code"
