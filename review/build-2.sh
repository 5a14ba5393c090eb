#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into
# target/review-2/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra)
for name in net scene; do
  g++ "${flags[@]}" -c "review/harness-2/$name.cc" -o "$out/$name.o"
done
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/net.o" "$out/scene.o" \
    -o "$out/case-$number" -pthread
done
