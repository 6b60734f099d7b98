# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Functions that start and stop the stand-ins and six daemons on loopback addresses. Sourced by the other tools.

BIN="${BIN:-build/bin}"
STACK_LOGS="${STACK_LOGS:-$(mktemp -d)}"
STACK_PIDS=()
PLATFORM_PORT="${PLATFORM_PORT:-7200}"
WEIGHT_STORE_PORT="${WEIGHT_STORE_PORT:-7210}"
export DRUMPOND_PEER_KEY="${DRUMPOND_PEER_KEY:-a-key-for-the-demo-only}"

# start NAME COMMAND...: runs a program in the background, to be ended by stop_stack.
start() {
  local name=$1
  shift
  "$@" >"$STACK_LOGS/$name.log" 2>&1 &
  STACK_PIDS+=($!)
}

# wait_for URL: waits until it responds with success, about 10 s at most.
wait_for() {
  for _ in $(seq 100); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no successful response from $1" >&2
  return 1
}

stop_stack() {
  local pid
  for pid in "${STACK_PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${STACK_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  STACK_PIDS=()
}

# start_backends SERVER_FLAGS...: starts the platform, the weight store, nine backend servers and three plain services.
# Every third backend server ignores fencing. SERVER_FLAGS go to the backend servers.
start_backends() {
  start platform "$BIN/standin-platform" --port "$PLATFORM_PORT"
  start weight-store "$BIN/standin-weight-store" --port "$WEIGHT_STORE_PORT" --load-ms "${LOAD_MS:-600}" \
    --starts-per-second "${STARTS_PER_SECOND:-3}"
  wait_for "http://127.0.0.1:$PLATFORM_PORT/control"
  wait_for "http://127.0.0.1:$WEIGHT_STORE_PORT/control"
  local index fencing
  for index in 1 2 3 4 5 6 7 8 9; do
    fencing=()
    [ $((index % 3)) -eq 0 ] && fencing=(--ignore-fencing)
    start "runner-$index" "$BIN/standin-engine" --vm "runner-$index" --port $((7300 + index)) \
      --weight-store "http://127.0.0.1:$WEIGHT_STORE_PORT" "${fencing[@]}" "$@"
  done
  for index in 1 2 3; do
    start "service-$index" "$BIN/standin-plain-service" --port $((7400 + index))
  done
}

# list_vms DATA_CENTRES...: sets the platform's list of VMs to six entry VMs and the runners.
list_vms() {
  local centres=("$@") vms="" index
  for index in 1 2 3 4 5 6; do
    vms+="{\"id\":\"entry-$index\",\"role\":\"entry\",\"state\":\"live\","
    vms+="\"data_centre\":\"${centres[$(((index - 1) % 3))]}\",\"address\":\"127.0.0.1:$((7700 + index))\"},"
  done
  for index in 1 2 3 4 5 6 7 8 9; do
    vms+="{\"id\":\"runner-$index\",\"role\":\"backend\",\"state\":\"live\","
    vms+="\"data_centre\":\"${centres[$(((index - 1) % 3))]}\"},"
  done
  curl -fs -o /dev/null -XPOST "http://127.0.0.1:$PLATFORM_PORT/control" -d "{\"vms\":[${vms%,}]}"
}

# start_daemons DATA_CENTRES FLAGS...: starts six daemons, two in each of three data centres.
start_daemons() {
  local centres=("${@:1:3}") index
  shift 3
  for index in 1 2 3 4 5 6; do
    start "entry-$index" "$BIN/drumpondd" --vm "entry-$index" --data-centre "${centres[$(((index - 1) % 3))]}" \
      --listen "127.0.0.1:$((7500 + index))" --operators "127.0.0.1:$((7600 + index))" \
      --peers-listen "127.0.0.1:$((7700 + index))" --platform "http://127.0.0.1:$PLATFORM_PORT" "$@"
  done
  for index in 1 2 3 4 5 6; do
    wait_for "http://127.0.0.1:$((7600 + index))/readyz"
    wait_for_peers $((7600 + index))
  done
}

# wait_for_peers PORT: waits until the daemon there sees all six daemons as alive, about 10 s at most.
wait_for_peers() {
  for _ in $(seq 100); do
    [ "$(curl -fs "http://127.0.0.1:$1/dump" | jq '[.daemons[] | select(.alive)] | length')" = 6 ] && return 0
    sleep 0.1
  done
  echo "the daemon at port $1 does not see all six daemons as alive" >&2
  return 1
}
