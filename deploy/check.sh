#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Builds with the command of deploy/system.toml from the files tracked by git only, starts the program with its own
# settings and sends requests to its addresses. The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0
record_result() {
  if [ "$1" -eq 0 ]; then passed=$((passed + 1)); echo "pass deploy $2"; else failed=$((failed + 1)); echo "FAIL deploy $2"; fi
}
WORK=$(mktemp -d)
trap 'kill "${DAEMON:-}" 2>/dev/null; rm -rf "$WORK"' EXIT

# Tools/setup.sh must install every package that deploy/system.toml lists.
missing=0
for package in $(sed -n '/^packages = \[/,/^\]/p' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"'); do
  grep -qE "(^| )$package( |$)" Tools/setup.sh || { echo "not in Tools/setup.sh: $package"; missing=1; }
done
record_result $missing "packages are installed by Tools/setup.sh"

git ls-files -z | xargs -0 cp --parents -t "$WORK" 2>/dev/null
BUILD=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
(cd "$WORK" && bash -c "$BUILD") >build/test/deploy-build.log 2>&1
record_result $? "builds in a clean directory"

RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
cat >"$WORK/node.json" <<JSON
{"nodeName":"check","zone":"z","portRange":[7871,7875],"heartbeatMs":1000,
 "listen":{"front":"127.0.0.1:7872","ready":"127.0.0.1:7873"},"limits":{"cpuShare":1,"linkMbps":1000},
 "bounds":{"graceS":2,"leaseMs":3000},"platform":{"address":"127.0.0.1:7874"}}
JSON
(cd "$WORK" && DRUMPOND_BOOT="$WORK/node.json" DRUMPOND_METRICS_PORT=7875 exec $RUN) >"$WORK/log" 2>&1 &
DAEMON=$!
for _ in $(seq 50); do
  curl -s -o /dev/null http://127.0.0.1:7873/ready && break
  sleep 0.1
done
[ "$(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:7873/ready)" = 503 ]
record_result $? "is not ready without a platform"
curl -s http://127.0.0.1:7875/metrics | grep -q '^drumpond_state{name="servers"} 0'
record_result $? "serves metrics"
[ "$(curl -s http://127.0.0.1:7875/dump | jq -r .ready)" = false ]
record_result $? "serves a dump"
[ "$(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:7872/x)" = 503 ]
record_result $? "refuses requests before it has routes"
kill -TERM "$DAEMON"
wait "$DAEMON"
record_result $? "exits with status 0 on SIGTERM"
grep -q 'event=stopped' "$WORK/log"
record_result $? "logs that it stopped"
(cd "$WORK" && echo '{}' >bad.json && DRUMPOND_BOOT="$WORK/bad.json" $RUN) >"$WORK/bad.log" 2>&1
[ $? -eq 2 ] && grep -q 'event=settings-invalid' "$WORK/bad.log"
record_result $? "exits with status 2 and logs invalid settings"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
