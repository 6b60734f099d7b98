#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/. The daemon is built by the command
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source" &
done
wait
for source in review/support-2/*.cpp; do
  test -x "target/review-2/$(basename "$source" .cpp)"
done
