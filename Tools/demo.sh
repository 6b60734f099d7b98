#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Installs the dependencies, builds, starts the stand-ins and six daemons in three data centres, applies the Qasba
# table, and sends three requests: a chat to a model that is not loaded, a weekly plan as a bulk job, and a label as a
# call that is not repeatable.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/setup.sh
Tools/build.sh
source Tools/stack.sh
trap stop_stack EXIT

CENTRES=(charguia-hall ariana-hall ben-arous-hall)
ENTRY=http://127.0.0.1:7501
operator_cli() { "$BIN/drumpond" --address 127.0.0.1:7601 "$@"; }
content_of() { jq -r '.choices[0].message.content'; }

echo "== starting stand-ins and six daemons"
start_backends
list_vms "${CENTRES[@]}"
start_daemons "${CENTRES[@]}"

echo "== applying examples/qasba.csv"
operator_cli table apply examples/qasba.csv --who demo
operator_cli table status

echo "== a chat to a model that is not loaded, streamed through entry-1"
curl -fsSN -D "$STACK_LOGS/head" "$ENTRY/v1/chat/completions" \
  -d '{"model":"recipe-17","stream":true,"messages":[{"role":"user","content":"what can I cook with dates?"}]}' \
  | sed -n 's/^data: //p' | tail -n 3
grep -i '^x-drumpond-server' "$STACK_LOGS/head"

echo "== a weekly plan as a bulk job, submitted to entry-2 and polled at entry-3"
JOB=$(curl -fsS http://127.0.0.1:7502/v1/jobs -H 'Idempotency-Key: plan-family-12-week-49' \
  -d '{"model":"recipe-style-07","messages":[{"role":"user","content":"plan our week"}]}' | jq -r .id)
for _ in $(seq 100); do
  [ "$(curl -fsS "http://127.0.0.1:7503/v1/jobs/$JOB" | jq -r .state)" = done ] && break
  sleep 0.1
done
curl -fsS "http://127.0.0.1:7503/v1/jobs/$JOB"
curl -fsS "http://127.0.0.1:7503/v1/jobs/$JOB/result" | content_of

echo "== a label, which is not repeatable, requested twice with the same key: through entry-4, then through entry-5"
for port in 7504 7505; do
  curl -fsS "http://127.0.0.1:$port/services/labels/create" -H 'Idempotency-Key: parcel-81' \
    -d '{"parcel":81}'
done

echo "== loaded models by server"
operator_cli runners
echo "== decisions on recipe-17"
operator_cli explain recipe-17
stop_stack
echo "demo: done"
