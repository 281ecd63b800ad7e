#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the node that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[6-9] review/10; do
  if [ -f "$folder/main.go" ]; then go build -o "target/review-$(basename "$folder")" "./$folder"; fi
done
