#!/usr/bin/env bash
# Regenerates the committed message code from src/wire/proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=src/wire/proto --cpp_out=src/wire/generated \
  src/wire/proto/*.proto
