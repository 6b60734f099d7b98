#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
rm -f build.log
ninja -C build ${NINJA_FLAGS:-} | tail -n 1
