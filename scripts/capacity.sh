#!/usr/bin/env bash
# Measures the slopes in docs/CAPACITY.md again and prints the tables. Arguments are names of series, to run only these;
# without arguments it runs all series and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./cmd/capacity "$@"
if [ "$#" -eq 0 ]; then
  go test -run '^$' -bench . -benchtime 200ms ./core/membership ./core/grant ./core/directory ./core/fence \
    ./core/machine ./core/pick ./core/gate
  go test -run '^$' -bench AddedTime -benchtime 2000x ./io/localfleet
fi
