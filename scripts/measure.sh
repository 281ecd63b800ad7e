#!/usr/bin/env bash
# Runs the three rigs and writes docs/MEASURES.md, docs/measures.json and docs/measures/.
# Usage: scripts/measure.sh [output folder]; SEED and JOBS (processes at a time) may be set. SEED is the seed of the
# ingress and gate rigs; the share rig always runs with the seeds 1 to 8.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(realpath "${1:-docs}")"
seed="${SEED:-7}"
jobs="${JOBS:-4}"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
mkdir -p "$out" "$work/ingress" "$work/gate" "$work/shares"
for rig in measure/ingressrig measure/gaterig measure/sharerig; do
  go test -c -o "$work/$(basename "$rig").test" "./$rig"
done
root="$PWD"
export root work seed

ingress() {
  cd "$root/measure/ingressrig"
  INGRESSRIG="$work/ingress" INGRESSRIG_SEED="$seed" INGRESSRIG_SCENARIO="$1" INGRESSRIG_CASES="$2" INGRESSRIG_CONTROLS="$3" \
    "$work/ingressrig.test" -test.run 'TestFigures$' > "$work/log-ingress-$1-$2-$3" || { cat "$work/log-ingress-$1-$2-$3"; return 1; }
}

gate() {
  cd "$root/measure/gaterig"
  GATERIG="$1" GATERIG_SEED="$seed" GATERIG_CASES="$2" "$work/gaterig.test" -test.v -test.run 'TestFigures$' > "$work/log-gate-$1-$2"
  grep -o '{.*}' "$work/log-gate-$1-$2" > "$work/gate/$1-$2.json"
}

shares() {
  cd "$root/measure/sharerig"
  "$work/sharerig.test" -test.run 'TestRig$' -settings "$1.toml" -seed "$2" -moveEvery "${3}s" > "$work/log-shares-$1-$2-$3"
  sed '/^PASS$/d' "$work/log-shares-$1-$2-$3" > "$work/shares/$1-$3-$2.json"
}

names() { sed -n '/^\[\[cases\]\]/{n;s/name = "\(.*\)"/\1/p}' "$1"; }

list() {
  for scenario in polderkruis secretaria; do
    for control in none static gatesOnly policy; do
      for name in $(names "measure/ingressrig/testdata/$scenario.toml"); do
        echo "ingress $scenario $name $control"
      done
    done
    for name in $(names "measure/gaterig/testdata/$scenario.toml"); do
      echo "gate $scenario $name"
    done
    for number in 1 2 3 4 5 6 7 8; do
      echo "shares $scenario $number 0"
      echo "shares $scenario $number 10"
    done
  done
}

export -f ingress gate shares
list | xargs -P "$jobs" -I{} bash -c 'set -euo pipefail; {}'
go run ./cmd/measure -results "$work" -scenarios measure/ingressrig/testdata -out "$out" -seed "$seed"
