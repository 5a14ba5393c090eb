#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the deploy file's program:
# one program for each case, which plays clients, servers and the platform.
# Needs g++ and nlohmann-json, both among the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p bin
for source in [1-5]/main.cc; do
  [ -e "$source" ] || continue
  case_number=$(dirname "$source")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "bin/case$case_number" "$source"
done
