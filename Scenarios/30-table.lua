-- SPDX-FileCopyrightText: 2026 The drumpond developers
-- SPDX-License-Identifier: Apache-2.0
--
-- The operators' table: concurrent edits, lower replica counts, restarts and outages.

local World = require("world")

local function with_replicas(w, name, replicas)
  local rows = w:table_of(w.daemons[1]).rows
  rows.__array = true
  for _, row in ipairs(rows) do
    if row.kind == "model" and row.name == name then row.replicas = replicas end
  end
  return rows
end

scenario("two-operators-race", function()
  local w = World.new{servers = 1}
  local seen = w:table_of(w.daemons[1]).revision
  local first, second = with_replicas(w, "m1", 2), with_replicas(w, "m2", 3)
  local function edit(daemon, id, rows)
    return request{method = "POST", url = daemon.operators .. "/v1/table/apply",
      body = encode{revision = seen, change = id, who = id, rows = rows}}
  end
  local handles = {edit(w.daemons[1], "race-a", first), edit(w.daemons[2], "race-b", second)}
  local accepted, refused = 0, 0
  for _, handle in ipairs(handles) do
    local response = wait_until(8000, "a response", function() return answer(handle) end)
    if response.status == 200 then accepted = accepted + 1 end
    if response.status == 409 then
      refused = refused + 1
      check(decode(response.body).error.type == "conflict", "a typed conflict")
    end
  end
  check(accepted == 1 and refused == 1, "one is accepted, one refused: " .. accepted .. " " .. refused)
  local history = decode(call{url = w.daemons[3].operators .. "/v1/table/history?count=1"}.body).changes
  check(#history == 1 and history[1].revision == seen + 1, "the history contains the accepted edit")
end)

scenario("edit-whose-answer-was-lost-is-found", function()
  local w = World.new{servers = 1}
  local seen = w:table_of(w.daemons[1]).revision
  local rows = with_replicas(w, "m1", 2)
  w:platform_control{lose_answers = 1}
  local body = {revision = seen, change = "lost-1", who = "x", rows = rows}
  local response = w:post_table(w.daemons[1], body)
  check(response.status == 200 and decode(response.body).revision == seen + 1,
    "the edit is found to be committed: " .. response.body)
  local again = w:post_table(w.daemons[2], body)
  check(again.status == 200 and decode(again.body).revision == seen + 1,
    "the same edit is accepted again: " .. again.body)
  check(w:table_of(w.daemons[3]).revision == seen + 1, "the edit took effect once")
end)

scenario("lowered-replicas-are-unloaded", function()
  local w = World.new{servers = 3, models = {m1 = {memory_mb = 20000, replicas = 3, limit = 1}},
    server_flags = {"--token-ms", "20"}}
  for number = 1, 24 do w:chat(number % 3 + 1, "m1", {deadline_ms = 15000}) end
  wait_until(8000, "three replicas", function() return #w:holders("m1") == 3 end)
  w:apply_table(with_replicas(w, "m1", 1))
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  wait_until(8000, "one replica remains", function() return #w:holders("m1") == 1 end)
  w:expect_ok(w:chat(1, "m1"))
  w:apply_table(with_replicas(w, "m1", 0))
  wait_until(8000, "no replica remains", function() return #w:holders("m1") == 0 end)
  w:expect_refused(w:chat(2, "m1"), 503)
  w:check_guarantees()
end)

scenario("change-is-in-force-everywhere-within-seconds", function()
  local w = World.new{data_centres = {"a", "b", "c"}, daemons = 6, servers = 1}
  for number = 1, 5 do
    local started_at = now()
    w:apply_table(with_replicas(w, "m1", number), w.daemons[number])
    check(now() - started_at < 5000, "in force within 5 s: " .. now() - started_at)
  end
end)

scenario("revision-never-goes-back-over-a-restart-in-an-outage", function()
  local w = World.new{servers = 1}
  local revision = w:apply_table(with_replicas(w, "m1", 2))
  w:platform_control{outage = true}
  w:kill(w.daemons[2])
  w:restart_daemon(w.daemons[2], {"--seeds", "entry-1=" .. w.daemons[1].peers .. ",entry-3=" .. w.daemons[3].peers})
  check(w:dump(w.daemons[2]).table_revision == revision, "the table is read from the peers")
  w:platform_control{outage = false}
  check(w:apply_table(with_replicas(w, "m1", 3), w.daemons[2]) == revision + 1, "edits are accepted again")
end)

scenario("lone-daemon-without-platform-refuses", function()
  local w = World.new{servers = 1, daemons = 2}
  w:platform_control{outage = true}
  w:kill(w.daemons[1])
  w:kill(w.daemons[2])
  w.daemons[1].down = nil
  w:start_daemon(w.daemons[1])
  wait_until(5000, "the daemon responds", function()
    return call{url = w.daemons[1].operators .. "/healthz", timeout_ms = 500}.status == 200
  end)
  check(call{url = w.daemons[1].operators .. "/readyz"}.status == 503, "not ready")
  w:expect_refused(w:chat(1, "m1"), 503)
  w:platform_control{outage = false}
  w:await_ready(w.daemons[1])
end)

scenario("claim-against-an-old-table-is-refused", function()
  local w = World.new{servers = 2, models = {m1 = {memory_mb = 20000, replicas = 2, limit = 1},
    m2 = {memory_mb = 1000, replicas = 1}}}
  -- Requests may cause claims under the old revision while the replica count is lowered elsewhere.
  w:expect_ok(w:chat(1, "m1"))
  local rows = with_replicas(w, "m1", 1)
  local seen = w:table_of(w.daemons[1]).revision
  for _ = 1, 12 do w:chat(2, "m1", {deadline_ms = 10000}) end
  local response = w:post_table(w.daemons[3], {revision = seen, change = "lower", who = "x", rows = rows})
  check(response.status == 200, "accepted")
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  wait_until(8000, "one replica", function() return #w:holders("m1") == 1 end)
  w:check_guarantees()
end)

-- A daemon that is cut off from its peers and does not poll has an old table, while the platform is reachable.
scenario("claim-with-an-old-table-in-a-cut-is-refused", function()
  local w = World.new{data_centres = {"a", "b"}, daemons = 2, servers = 2, relays = true,
    daemon_flags = {"--table-poll-ms", "60000"}, models = {m1 = {memory_mb = 20000, replicas = 2}}}
  w:expect_ok(w:chat(1, "m1"))
  w:cut_off("b", true, false)
  sleep(1000)
  local rows = with_replicas(w, "m1", 1)
  local response = w:post_table(w.daemons[1], {revision = w:table_of(w.daemons[1]).revision,
    change = "lower-in-cut", who = "x", rows = rows})
  check(response.status == 200, "lowered: " .. response.body)
  w:expect_refused(w:chat(2, "m1", {deadline_ms = 3000}), 503)
  check(#w:holders("m1") == 1, "no claim against the old table: " .. #w:holders("m1"))
  w:check_guarantees()
end)
