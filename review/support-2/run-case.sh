#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# run-case.sh FOLDER PROGRAM: runs the program of a case and writes FOLDER/record.txt. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
PROGRAM=target/review-2/$2
if [ ! -x "$PROGRAM" ] || [ ! -x target/bin/drumpondd ]; then
  echo "no result: run the build command of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
RECORD="$1/record.txt" timeout 115 "$PROGRAM"
STATUS=$?
[ "$STATUS" -le 1 ] && exit "$STATUS"
exit 2
