#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds the programs of the cases that have a script, each with its stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review/case-$number" &
done
wait
ls target/review
