#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/rig ] && [ -x target/flamingoreach-host ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/rig lateAfterRestart "$folder"
