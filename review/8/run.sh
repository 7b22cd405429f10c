#!/usr/bin/env bash
# Plays the case on loopback addresses. Exit status: 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
play=target/review-2/review-play
[ -x "$play" ] && [ -x target/bin/cassia-host ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'kill "$pid" 2>/dev/null; exit 2' TERM INT
"$play" advice-burst "${TROUBLE:-1}" target/bin/cassia-host "$folder" \
  "${RECORD:-$case_folder/record.txt}" &
pid=$!
wait "$pid"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
