#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Runs models, fuzz tests and scenarios: Tools/prove.sh [scenarios|models|fuzz|fast|NAME]; without an argument all of
# them. "fast" runs the models and the quick scenario files; NAME runs the scenarios whose name contains it. The last
# line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
WHAT="${1:-all}"
OUT=build/prove
mkdir -p "$OUT"
rm -f "$OUT"/*.txt

# run_scenarios FILES...: runs the files in parallel, each on its own loopback addresses.
run_scenarios() {
  local file name net=40 pids=()
  for file in "$@"; do
    name=$(basename "$file" .lua)
    net=$((net + 1))
    build/bin/scenario-runner --net "127.33.$net" --logs build/scenarios --only "${ONLY:-}" "$file" \
      >"$OUT/$name.txt" 2>&1 &
    pids+=($!)
  done
  wait "${pids[@]}"
}

run_models() {
  Tools/check-models.sh >"$OUT/models.txt" 2>&1
}

run_fuzz() {
  build/bin/unit-tests --fuzz >"$OUT/fuzz.txt" 2>&1
}

case "$WHAT" in
  all) run_models; run_fuzz; run_scenarios Scenarios/*.lua ;;
  scenarios) run_scenarios Scenarios/*.lua ;;
  fast) run_models; run_scenarios Scenarios/10-*.lua Scenarios/30-*.lua ;;
  models) run_models ;;
  fuzz) run_fuzz ;;
  *) ONLY="$WHAT" run_scenarios Scenarios/*.lua ;;
esac

cat "$OUT"/*.txt | grep -v -E '^[0-9]+ passed, [0-9]+ failed$'
passed=$(cat "$OUT"/*.txt | sed -n 's/^\([0-9]*\) passed, [0-9]* failed$/\1/p' | awk "{n+=\$1} END{print n+0}")
failed=$(cat "$OUT"/*.txt | sed -n 's/^[0-9]* passed, \([0-9]*\) failed$/\1/p' | awk "{n+=\$1} END{print n+0}")
for file in "$OUT"/*.txt; do
  grep -q -E '^[0-9]+ passed, [0-9]+ failed$' "$file" || { echo "FAIL $file has no verdict"; failed=$((failed + 1)); }
done
echo "${passed:-0} passed, ${failed:-0} failed"
[ "${failed:-0}" -eq 0 ]
