#!/usr/bin/env bash
# Runs the benches and rewrites the figures of docs/CAPACITY.md from them.
# Usage: scripts/capacity.sh [--quick]
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${BUILD_DIR:-build}
ninja -C "$build_dir" links_bench > /dev/null
output=$(mktemp)
trap 'rm -f "$output"' EXIT
timeout 300 "$build_dir/links_bench" "$@" | tee "$output"
python3 scripts/capacity_figures.py "$output" docs/CAPACITY.md
