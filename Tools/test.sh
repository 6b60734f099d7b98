#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds and runs the tests; ends in "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
Tools/build.sh || exit 1
passed=0
failed=0
if Tools/demo.sh >build/demo.log 2>&1; then passed=$((passed + 1)); else failed=$((failed + 1)); tail -n 40 build/demo.log; fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
