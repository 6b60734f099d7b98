#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Fails if a source file is not formatted. With --fix, formats the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --fix ]; then
  git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format -i
else
  git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format --dry-run --Werror
fi
