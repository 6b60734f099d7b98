#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Runs cases of a program that starts real daemons: Tools/daemon-cases.sh PROGRAM NET SEED FLAGS CASE...
# NET: the first two octets of its loopback addresses. The logs of the daemons are in build/PROGRAM/CASE-SEED, the output
# of the program beside them. The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
export PROGRAM=$1 NET=$2 SEED=$3 FLAGS=$4
AT_ONCE=${AT_ONCE:-4}
mkdir -p "build/$PROGRAM"
# A copy, so that a concurrent build does not replace the program of a daemon that is restarted.
cp build/bin/drumpondd build/bin/libdrumpondd.so "build/$PROGRAM/"
# run_case CASE: runs it on its own loopback addresses.
run_case() {
  local logs="build/$PROGRAM/$1-$SEED" number
  number=$(cksum <<<"$1" | cut -d' ' -f1)
  mkdir -p "$logs"
  # shellcheck disable=SC2086
  "build/bin/$PROGRAM" --case "$1" --seed "$SEED" --net "$NET.$((number % 250 + 1))" --logs "$logs" \
    --binary "build/$PROGRAM/drumpondd" $FLAGS >"$logs.txt" 2>&1
  printf '%s: %s\n%s\n' "$1" "$(grep -v -E '^(pass|FAIL) ' "$logs.txt" | head -n 1)" \
    "$(grep -E '^(pass|FAIL) ' "$logs.txt" || echo "FAIL $PROGRAM-$1 : no verdict")"
}
export -f run_case
RESULTS=$(printf '%s\n' "${@:5}" | xargs -P "$AT_ONCE" -I{} bash -c 'run_case {}')
echo "$RESULTS"
echo "$(grep -c '^pass' <<<"$RESULTS") passed, $(grep -c '^FAIL' <<<"$RESULTS") failed"
! grep -q '^FAIL' <<<"$RESULTS"
