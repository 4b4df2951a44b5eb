#!/bin/bash
# Runs the case against three controllers. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
folder="$(mktemp -d)" || exit 2
end() {
  # The controllers that this run started, should any be left.
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      grep -qsF "$folder" "/proc/$pid/cmdline" && kill -9 "$pid"
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 1 119 target/review-2/release/review-2 crash-loop "$here/record.txt" "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
