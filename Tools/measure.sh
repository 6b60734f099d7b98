#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Measures real daemons with stand-ins on this machine. Each line of output is a JSON object.
#   Tools/measure.sh cold-start [SEEDS...]  the policies and their baselines, with both example tables
#   Tools/measure.sh overload               twice the load that the runners can serve
#   Tools/measure.sh relay                  added latency and tokens per second of one daemon
#   Tools/measure.sh cold-path              round trips to the platform before a load order
#   Tools/measure.sh control                bytes, messages, CPU and memory of the control plane
set -euo pipefail
cd "$(dirname "$0")/.."
source Tools/stack.sh
trap stop_stack EXIT

# Loads are shortened by a factor of 100: one of 60 s takes 0.6 s, and the weight store starts 300 per second.
export LOAD_MS=600 STARTS_PER_SECOND=300
CENTRES=(a b c)
ENTRIES=http://127.0.0.1:7501,http://127.0.0.1:7502,http://127.0.0.1:7503,http://127.0.0.1:7504,http://127.0.0.1:7505,http://127.0.0.1:7506
OURS=()
BASELINE=(--placement first-fit --retention keep-alive --routing round-robin --queue fifo --load-order fifo)

# centres_of TABLE: prints its three data centres.
centres_of() { sed -n 's/^data_centre,\([^,]*\),.*/\1/p' "$1"; }

# sum_engine_usage: prints loaded and busy milliseconds, loads and runs, summed over all backend servers.
sum_engine_usage() {
  local index
  for index in 1 2 3 4 5 6 7 8 9; do curl -fs -XPOST "http://127.0.0.1:$((7300 + index))/control" -d '{}'; done |
    jq -sc '{loaded_ms: (map(.loaded_ms)|add), busy_ms: (map(.busy_ms)|add), loads: (map(.loads)|add),
      overcommitted: (map(.overcommitted)|any), runs: (map(.runs|add // 0)|add)}'
}

# run_load TABLE MODELS LABEL SEED FLAGS...: runs the generated load once against a new stack; FLAGS go to the daemons.
run_load() {
  local table=$1 models=$2 label=$3 seed=$4
  shift 4
  mapfile -t CENTRES < <(centres_of "$table")
  start_backends --report-lag-ms 50
  list_vms "${CENTRES[@]}"
  start_daemons "${CENTRES[@]}" "$@"
  sed 's/^\(setting,weight_store_starts_per_second,*\)3$/\1300/' "$table" >"$STACK_LOGS/table.csv"
  "$BIN/drumpond" --address 127.0.0.1:7601 table apply "$STACK_LOGS/table.csv" --who measure >/dev/null
  sleep 1
  local load
  load=$("$BIN/drumpond-load" --targets "$ENTRIES" --models "$models" --rate "${RATE:-12}" --seconds "${SECONDS_LONG:-20}" \
    --exponent 1 --burst-every 2 --jobs-rate 1 --tokens 8 --seed "$seed" --label "$label" ${LOAD_FLAGS:-})
  jq -nc --argjson load "$load" --argjson engines "$(sum_engine_usage)" \
    '$load + {engines: $engines, idle_per_useful: (($engines.loaded_ms - $engines.busy_ms) / $engines.busy_ms * 100 | round / 100)}'
  stop_stack
}

measure_cold_start() {
  local seed
  for seed in "${@:-1 2 3}"; do
    for seed in $seed; do
      run_load examples/qasba.csv recipe:50,recipe-style:60 qasba-ours "$seed"
      run_load examples/qasba.csv recipe:50,recipe-style:60 qasba-baseline "$seed" "${BASELINE[@]}" --keep-alive-ms "${QASBA_KEEP_ALIVE:-6000}"
      run_load examples/verhaeghe.csv returns:50,carrier-style:55 verhaeghe-ours "$seed"
      run_load examples/verhaeghe.csv returns:50,carrier-style:55 verhaeghe-baseline "$seed" "${BASELINE[@]}" --keep-alive-ms "${VERHAEGHE_KEEP_ALIVE:-2000}"
    done
  done
}

measure_overload() {
  RATE=300 LOAD_FLAGS="--deadline-ms 2000" SECONDS_LONG=10 run_load examples/qasba.csv recipe:50,recipe-style:60 overload 1
  curl -fs "http://127.0.0.1:7601/metrics" 2>/dev/null || true
}

# Streams through one daemon, compared with the same streams sent directly to the backend server.
measure_relay() {
  start platform "$BIN/standin-platform" --port "$PLATFORM_PORT"
  wait_for "http://127.0.0.1:$PLATFORM_PORT/control"
  local index
  for index in 1 2 3 4; do
    start "runner-$index" "$BIN/standin-engine" --vm "runner-$index" --port $((7300 + index)) --disk-load-ms 50 \
      --token-ms "${TOKEN_MS:-20}" --max-running 2000
  done
  curl -fs -o /dev/null -XPOST "http://127.0.0.1:$PLATFORM_PORT/control" -d '{"vms":[{"id":"entry-1","role":"entry","state":"live","data_centre":"a","address":"127.0.0.1:7701"}]}'
  start entry-1 "$BIN/drumpondd" --vm entry-1 --data-centre a --listen 127.0.0.1:7501 --operators 127.0.0.1:7601 \
    --peers-listen 127.0.0.1:7701 --platform "http://127.0.0.1:$PLATFORM_PORT"
  wait_for http://127.0.0.1:7601/readyz
  {
    "$BIN/drumpond" --address 127.0.0.1:7601 table export | head -n 1
    echo 'setting,cold_start_exchange_rate,,,,,,,,,,,100000'
    echo 'data_centre,a'
    echo 'pool,p'
    for index in 1 2 3 4; do
      echo "backend_server,runner-$index,p,a,127.0.0.1:$((7300 + index)),80000,,,,,,checks,"
      echo "model,m-0$index,p,,,60000,1,,,,,,"
    done
  } >"$STACK_LOGS/table.csv"
  "$BIN/drumpond" --address 127.0.0.1:7601 table apply "$STACK_LOGS/table.csv" --who measure >/dev/null
  sleep 1
  for index in 1 2 3 4; do
    curl -fs -o /dev/null http://127.0.0.1:7501/v1/chat/completions -d "{\"model\":\"m-0$index\",\"messages\":[]}"
  done
  local model target streams daemon_pid=${STACK_PIDS[5]}
  # Each backend server serves one model; only that of the first is needed.
  for index in 1 2 3 4; do
    model=$(curl -fs -XPOST "http://127.0.0.1:$((7300 + index))/control" -d '{}' | jq -r '.artifacts | keys[0]')
    [ "$index" = 1 ] && { target=http://127.0.0.1:7301; direct_model=$model; }
  done
  "$BIN/drumpond-load" --targets "$target" --models "$direct_model" --streams 1 --seconds 5 --tokens 20 --label direct-1-stream
  "$BIN/drumpond-load" --targets http://127.0.0.1:7501 --models "$direct_model" --streams 1 --seconds 5 --tokens 20 --label relay-1-stream
  for streams in ${STREAMS:-400 1000}; do
    local before after memory_before memory_after
    memory_before=$(awk '/VmRSS/ {print $2}' "/proc/$daemon_pid/status")
    before=$(cut -d' ' -f14,15 "/proc/$daemon_pid/stat" | tr ' ' +)
    # Four load generators, so that a generator is not the bottleneck.
    local generator_pids=() output=()
    for index in 1 2 3 4; do
      "$BIN/drumpond-load" --targets http://127.0.0.1:7501 --models "m-0$index" --streams $((streams / 4)) --seconds 8 \
        --tokens 200 --label "relay-$streams-streams" >"$STACK_LOGS/load-$index.json" &
      generator_pids+=($!)
    done
    sleep 5
    memory_after=$(awk '/VmRSS/ {print $2}' "/proc/$daemon_pid/status")
    wait "${generator_pids[@]}"
    after=$(cut -d' ' -f14,15 "/proc/$daemon_pid/stat" | tr ' ' +)
    jq -sc --argjson cpu "$(((after) - (before)))" --argjson memory $((memory_after - memory_before)) --argjson streams "$streams" \
      '{label: .[0].label, tokens_per_s: (map(.tokens_per_s)|add), ok: (map(.outcomes.ok // 0)|add), cpu_s: ($cpu / 100),
        tokens_per_cpu_s: ((map(.tokens_per_s * .seconds)|add) / ($cpu / 100) | round), kib_per_stream: ($memory / $streams),
        between_chunks_p99_ms: (map(.between_chunks.p99_ms)|max), between_chunks_p50_ms: (map(.between_chunks.p50_ms)|max)}' "$STACK_LOGS"/load-?.json
  done
  stop_stack
}

# Time from the arrival of a request for a model that is not loaded to the load order at the backend server, for
# several delays of the platform. The slope is the number of round trips to the platform on that path.
measure_cold_path() {
  local slow model sent_us ordered_us number=10
  for slow in 0 100 200; do
    number=$((number + 1))
    model=recipe-$number
    start_backends
    list_vms charguia-hall ariana-hall ben-arous-hall
    start_daemons charguia-hall ariana-hall ben-arous-hall
    "$BIN/drumpond" --address 127.0.0.1:7601 table apply examples/qasba.csv --who measure >/dev/null
    sleep 1.5
    curl -fs -o /dev/null -XPOST "http://127.0.0.1:$PLATFORM_PORT/control" -d "{\"slow_ms\":$slow}"
    sleep 0.5
    sent_us=$(($(date +%s%N) / 1000))
    curl -fs -o /dev/null http://127.0.0.1:7501/v1/chat/completions -d "{\"model\":\"$model\",\"messages\":[]}"
    ordered_us=$(for index in 1 2 3 4 5 6 7 8 9; do curl -fs -XPOST "http://127.0.0.1:$((7300 + index))/control" -d '{}'; done |
      jq -s 'map(.first_load_order_us) | max')
    jq -nc --argjson slow "$slow" --argjson us $((ordered_us - sent_us)) '{platform_slow_ms: $slow, arrival_to_order_ms: ($us / 1000)}'
    stop_stack
  done
}

# measure_control_size DAEMONS RUNNERS MODELS: cost of control per daemon and second, in a stack of that size without
# requests.
measure_control_size() {
  local daemons=$1 runners=$2 models=$3 index vms="" first
  start platform "$BIN/standin-platform" --port "$PLATFORM_PORT"
  wait_for "http://127.0.0.1:$PLATFORM_PORT/control"
  for index in $(seq "$runners"); do
    start "runner-$index" "$BIN/standin-engine" --vm "runner-$index" --port $((20000 + index))
  done
  for index in $(seq "$daemons"); do
    vms+="{\"id\":\"entry-$index\",\"role\":\"entry\",\"state\":\"live\",\"data_centre\":\"a\",\"address\":\"127.0.0.1:$((23000 + index))\"},"
  done
  curl -fs -o /dev/null -XPOST "http://127.0.0.1:$PLATFORM_PORT/control" -d "{\"vms\":[${vms%,}]}"
  first=${#STACK_PIDS[@]}
  for index in $(seq "$daemons"); do
    start "entry-$index" "$BIN/drumpondd" --vm "entry-$index" --data-centre a --listen "127.0.0.1:$((21000 + index))" \
      --operators "127.0.0.1:$((22000 + index))" --peers-listen "127.0.0.1:$((23000 + index))" --platform "http://127.0.0.1:$PLATFORM_PORT" \
      --heartbeat-ms "${HEARTBEAT_MS:-1000}" --dead-after-ms 5000 --table-poll-ms 5000 --report-ms 1000
  done
  wait_for "http://127.0.0.1:$((22000 + daemons))/readyz"
  {
    "$BIN/drumpond" --address 127.0.0.1:22001 table export | head -n 1
    echo 'data_centre,a'
    echo 'pool,p'
    for index in $(seq "$runners"); do echo "backend_server,runner-$index,p,a,127.0.0.1:$((20000 + index)),80000,,,,,,checks,"; done
    for index in $(seq "$models"); do echo "model,m-$index,p,,,16000,1,,,,,,"; done
  } >"$STACK_LOGS/table.csv"
  "$BIN/drumpond" --address 127.0.0.1:22001 table apply "$STACK_LOGS/table.csv" --who measure >/dev/null
  sleep 8
  local before after writes_before writes_after long=20
  sum_control_usage() {
    local each pid ticks=0 memory=0 bytes=0 messages=0 dump
    for each in $(seq "$daemons"); do
      pid=${STACK_PIDS[$((first + each - 1))]}
      ticks=$((ticks + $(cut -d' ' -f14,15 "/proc/$pid/stat" | tr ' ' +)))
      memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
      dump=$(curl -fs "http://127.0.0.1:$((22000 + each))/dump" | jq -c '[.link.bytes_sent + .link.bytes_received, .link.heartbeats_sent + .link.calls_sent + .link.calls_received]')
      bytes=$((bytes + $(jq '.[0]' <<<"$dump")))
      messages=$((messages + $(jq '.[1]' <<<"$dump")))
    done
    echo "$ticks $memory $bytes $messages $(curl -fs "http://127.0.0.1:$PLATFORM_PORT/control" | jq '"\(.reads) \(.writes)"' -r)"
  }
  read -r -a before < <(sum_control_usage)
  sleep "$long"
  read -r -a after < <(sum_control_usage)
  jq -nc --argjson d "$daemons" --argjson r "$runners" --argjson m "$models" --argjson s "$long" \
    --argjson cpu $((after[0] - before[0])) --argjson mem "${after[1]}" --argjson bytes $((after[2] - before[2])) \
    --argjson msgs $((after[3] - before[3])) --argjson reads $((after[4] - before[4])) --argjson writes $((after[5] - before[5])) \
    '{daemons: $d, runners: $r, models: $m, cpu_percent: ($cpu / $s / $d * 100 | round / 100), rss_mib: ($mem / $d / 1024 * 10 | round / 10),
      bytes_per_s: ($bytes / $s / $d | round), messages_per_s: ($msgs / $s / $d * 10 | round / 10),
      platform_reads_per_s: ($reads / $s / $d * 100 | round / 100), platform_writes_per_s: ($writes / $s / $d * 100 | round / 100)}'
  stop_stack
}

measure_control() {
  measure_control_size 2 6 50
  measure_control_size 24 6 50
  measure_control_size 48 6 50
  measure_control_size 6 6 50
  measure_control_size 6 54 50
  measure_control_size 6 6 3140
}

case "${1:-}" in
  cold-start) shift; measure_cold_start "$@" ;;
  overload) measure_overload ;;
  relay) measure_relay ;;
  control) measure_control ;;
  cold-path) measure_cold_path ;;
  *) sed -n '5,13p' "$0"; exit 2 ;;
esac
