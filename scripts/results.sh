#!/usr/bin/env bash
# Writes docs/RESULTS.md and its plots from one run of every trace under every
# policy. "results.sh traces" writes traces/ anew from the generator instead.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${BUILD_DIR:-build}
program=$build_dir/indigolead

if [ "${1:-}" = traces ]; then
  # The usage text of an unknown scenario lists those that there are.
  "$program" replay generate list 2>&1 | sed -n 's/^  //p' |
    while read -r scenario; do
      "$program" replay generate "$scenario" 1 >"traces/$scenario.trace"
    done
  exit 0
fi

python3 scripts/results.py "$program"
