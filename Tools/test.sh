#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds and runs the tests: unit tests, models, fast scenarios, the commands of the docs, the build of
# deploy/system.toml, a short soak, the cases of resumed streams and of overloaded servers, and the demo. Tools/prove.sh
# runs all scenarios, models and fuzz tests. The last line is "N passed, N failed". Failures listed in KNOWN-RED.txt are printed and not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
Tools/build.sh || exit 1
mkdir -p build/test
build/bin/unit-tests >build/test/unit.txt 2>&1
Tools/prove.sh fast >build/test/prove.txt 2>&1
Tools/check-docs.sh >build/test/docs.txt 2>&1
deploy/check.sh >build/test/deploy.txt 2>&1
Tools/soak.sh kept >build/test/soak.txt 2>&1
Tools/resumed-streams.sh >build/test/resumed.txt 2>&1
Tools/overloaded-servers.sh >build/test/overloaded.txt 2>&1
if Tools/demo.sh >build/test/demo.log 2>&1; then
  echo -e "pass demo\n1 passed, 0 failed"
else
  tail -n 40 build/test/demo.log
  echo -e "FAIL demo\n0 passed, 1 failed"
fi >build/test/demo.txt

passed=0
failed=0
for suite in unit prove docs deploy soak resumed overloaded demo; do
  echo "== $suite"
  grep -v -E '^[0-9]+ passed, [0-9]+ failed$' "build/test/$suite.txt"
  verdict=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "build/test/$suite.txt" | tail -n 1)
  [ -n "$verdict" ] || { echo "FAIL $suite has no verdict"; verdict="0 passed, 1 failed"; }
  passed=$((passed + $(echo "$verdict" | cut -d' ' -f1)))
  failed=$((failed + $(echo "$verdict" | cut -d' ' -f3)))
done
if [ -f KNOWN-RED.txt ]; then
  # A line is "NAME: ...", where NAME may contain colons.
  while read -r line; do
    if grep -q "^FAIL ${line%%: *} " build/test/*.txt; then
      echo "known red: $line"
      failed=$((failed - 1))
    fi
  done < <(grep -v '^#' KNOWN-RED.txt)
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
