#!/usr/bin/env bash
# Installs what a fresh Debian machine lacks, then builds into build/.
# Usage: scripts/setup.sh [CMAKE OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
  build-essential cmake ninja-build pkg-config ccache curl python3
  libboost-dev libboost-system-dev libgflags-dev libeasyloggingpp-dev catch2
  libzmq3-dev cppzmq-dev libprotobuf-dev nlohmann-json3-dev libxxhash-dev
  libssl-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "setup: installing ${missing[*]}" >&2
  apt-get update -q >&2
  DEBIAN_FRONTEND=noninteractive \
    apt-get install -y --no-install-recommends "${missing[@]}" >&2
fi

build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja "$@" >&2
ninja -C "$build_dir" >&2
