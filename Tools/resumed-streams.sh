#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Streams that callers take up at other VMs while real daemons fail. Without arguments runs each case once,
# Tools/resumed-streams.sh CASE [SEED [FLAGS...]] one of them. The logs of the daemons are in
# build/resumed-streams/CASE-SEED. The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
CASES=(quiet origin-killed origin-stopped origin-frozen holder-frozen holder-killed store-silent rolling-restart rollout
  rollout-and-kills young-vm chains same-id-twice models models-and-kills
  overlapping)
AT_ONCE=4
SELECTED=("${CASES[@]}")
[ $# -gt 0 ] && SELECTED=("$1")
SEED=${2:-1}
FLAGS="${*:3}"
mkdir -p build/resumed-streams
# A copy, so that a concurrent build does not replace the program of a daemon that is restarted.
cp build/bin/drumpondd build/bin/libdrumpondd.so build/resumed-streams/
# run_case CASE: runs it on its own loopback addresses.
run_case() {
  local logs="build/resumed-streams/$1-$SEED" number counts verdict
  number=$(cksum <<<"$1" | cut -d' ' -f1)
  mkdir -p "$logs"
  # shellcheck disable=SC2086
  build/bin/resumed-streams --case "$1" --seed "$SEED" --net "127.41.$((number % 250 + 1))" --logs "$logs" \
    --binary build/resumed-streams/drumpondd $FLAGS >"$logs.txt" 2>&1
  counts=$(grep '^new streams' "$logs.txt")
  verdict=$(grep -E '^(pass|FAIL) ' "$logs.txt" || echo "FAIL resumed-$1 : no verdict")
  printf '%s\n%s\n' "resumed-$1: $counts" "$verdict"
}
export -f run_case
export SEED FLAGS
RESULTS=$(printf '%s\n' "${SELECTED[@]}" | xargs -P "$AT_ONCE" -I{} bash -c 'run_case {}')
echo "$RESULTS"
echo "$(grep -c '^pass' <<<"$RESULTS") passed, $(grep -c '^FAIL' <<<"$RESULTS") failed"
! grep -q '^FAIL' <<<"$RESULTS"
