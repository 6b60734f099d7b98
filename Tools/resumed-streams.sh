#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Streams that callers take up at other VMs while real daemons fail. Without arguments runs each case once,
# Tools/resumed-streams.sh CASE [SEED [FLAGS...]] one of them; CASE late: all with a daemon out of step.
set -uo pipefail
cd "$(dirname "$0")/.."
CASES=(quiet origin-killed origin-stopped origin-frozen holder-frozen holder-killed store-silent rolling-restart rollout
  rollout-and-kills young-vm chains same-id-twice models models-and-kills
  overlapping all-killed rollout-and-all-killed late-deaf late-frozen)
LATE_CASES=(late-others late-store late-all late-deaf late-mute late-deaf-to-others late-mute-to-others late-frozen)
SELECTED=("${CASES[@]}")
[ $# -gt 0 ] && SELECTED=("$1")
[ "${1:-}" = late ] && SELECTED=("${LATE_CASES[@]}")
exec Tools/daemon-cases.sh resumed-streams 127.41 "${2:-1}" "${*:3}" "${SELECTED[@]}"
