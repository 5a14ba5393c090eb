#!/usr/bin/env bash
# Builds and runs the tests under sanitizers: all unit tests under address and
# undefined-behaviour checks, those of the threaded shells under thread checks.
# Usage: scripts/sanitize.sh [address|thread]   (default: both)
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${JOBS:-6}
export RC_PARAMS=${RC_PARAMS:-seed=1}

# Builds the unit tests with the sanitizers given and runs those named.
run_under() {
  local sanitizers=$1 build_dir=$2
  shift 2
  cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DINDIGOLEAD_SANITIZE="$sanitizers" > /dev/null
  ninja -C "$build_dir" -j "$jobs" indigolead_tests > "$build_dir/build.log" ||
    { tail -n 40 "$build_dir/build.log"; return 1; }
  timeout 600 "$build_dir/indigolead_tests" "$@"
}

what=${1:-both}
if [ "$what" != thread ]; then
  ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1 \
    run_under address,undefined build-asan
  echo "sanitize: address, undefined: clean"
fi
if [ "$what" != address ]; then
  # ZeroMQ's own threads hand memory over by means that the checker, which does
  # not see into the library, cannot follow; the rings between our threads are
  # its subject.
  TSAN_OPTIONS=halt_on_error=1 run_under thread build-tsan "Mailbox*"
  echo "sanitize: thread: clean"
fi
