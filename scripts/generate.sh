#!/usr/bin/env bash
# Regenerates the code from proto/. With --check it fails if the generated code was out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
digest() { find io -name '*.pb.go' -o -name '*.connect.go' | sort | xargs sha256sum; }
before="$(digest)"
buf lint
buf generate
if [ "${1:-}" = "--check" ] && [ "$before" != "$(digest)" ]; then
  echo "generated code was not up to date"
  exit 1
fi
