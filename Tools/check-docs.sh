#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Runs each `drumpond` and `drumpondd` command in the code blocks of the docs against a daemon that it starts. Checks
# that each tool named in the docs exists and is executable, and that docs/OPERATIONS.md lists each log event.
# The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
source Tools/stack.sh
trap stop_stack EXIT
PLATFORM_PORT=7240
export DRUMPOND_ADDRESS=127.0.0.1:7642 PATH="$PWD/$BIN:$PATH"
WORK=$(mktemp -d)

start platform "$BIN/standin-platform" --port "$PLATFORM_PORT"
wait_for "http://127.0.0.1:$PLATFORM_PORT/control"
start entry-1 "$BIN/drumpondd" --vm entry-1 --data-centre charguia-hall --listen 127.0.0.1:7542 \
  --operators "$DRUMPOND_ADDRESS" --peers-listen 127.0.0.1:7742 --platform "http://127.0.0.1:$PLATFORM_PORT"
wait_for "http://$DRUMPOND_ADDRESS/readyz"
cp -r examples "$WORK/"
cd "$WORK"

passed=0
failed=0
record_result() {
  if [ "$1" -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAIL doc command: $2"; fi
}
while read -r command; do
  bash -c "$command" >"$WORK/out.txt" 2>&1
  record_result $? "$command"
done < <(awk '/^```/ {inside = !inside} inside && /^drumpond/' "$OLDPWD"/docs/*.md "$OLDPWD"/README.md)
while read -r tool; do
  [ -x "$OLDPWD/$tool" ]
  record_result $? "$tool"
done < <(grep -ohE 'Tools/[a-z-]+\.sh' "$OLDPWD"/docs/*.md "$OLDPWD"/*.md | sort -u)
cd "$OLDPWD"
# Every event that the code logs is listed in the page for operators.
while read -r event; do
  grep -q "\`$event\`" docs/OPERATIONS.md
  record_result $? "event $event is not in docs/OPERATIONS.md"
done < <(grep -Pzoh 'LogEvent\([^"]*?"\K[a-z_.-]+' $(git ls-files 'Source/Core/*.cpp' 'Source/Core/*.h' 'platform/*') | tr '\0' '\n' | sort -u)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
