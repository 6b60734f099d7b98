#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Checks Models/*.pml with Spin. Each model must hold. For each guard in the "guards:" line of its head, Spin must find
# a counterexample once the guard is removed. The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
MODELS=$PWD/Models
WORK=$PWD/build/models
# Each check has a time limit and takes up to 1.5 GB of memory.
AT_ONCE=3

# verify MODEL SWITCHES: runs an exhaustive search and prints "ERRORS STATES". Fails if the search is incomplete.
verify() {
  local model=$1 switches=$2
  spin $switches -a "$MODELS/$model.pml" >spin.log 2>&1 && gcc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c 2>gcc.log || return 1
  timeout 180 ./pan -m200000 -w22 >pan.log 2>&1 || return 1
  grep -q 'max search depth too small' pan.log && return 1
  # With a guard removed, only a failed assertion is a counterexample; a search may stop for other reasons.
  [ -z "$switches" ] || grep -q 'assertion violated' pan.log || return 1
  awk '/errors:/ {e=$NF} /states, stored/ {s=$1} END {print e, s}' pan.log
}

print_result() {
  if [ "$1" = yes ]; then echo "pass $2"; else echo "FAIL $2"; fi
}

# check_model MODEL: checks it with all guards, then without each of them, in a directory of its own.
check_model() {
  local model=$1 errors states ok
  mkdir -p "$WORK/$model"
  cd "$WORK/$model" || return 1
  read -r errors states < <(verify "$model" "")
  [ "${errors:-none}" = 0 ] && ok=yes || ok=no
  print_result $ok "model $model holds: ${states:-no} states explored, ${errors:-no verdict on} errors"
  for guard in $(sed -n 's/^ \* guards: \(.*\) \*\/$/\1/p' "$MODELS/$model.pml"); do
    read -r errors states < <(verify "$model" "-D$guard")
    [ "${errors:-0}" -ge 1 ] && ok=yes || ok=no
    print_result $ok "model $model without its guard ($guard) has a counterexample, after ${states:-no} states"
  done
}

export MODELS WORK
export -f verify print_result check_model
RESULTS=$(basename -s .pml "$MODELS"/*.pml | xargs -P "$AT_ONCE" -I{} bash -c 'check_model {}')
echo "$RESULTS"
echo "$(grep -c '^pass' <<<"$RESULTS") passed, $(grep -c '^FAIL' <<<"$RESULTS") failed"
! grep -q '^FAIL' <<<"$RESULTS"
