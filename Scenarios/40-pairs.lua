-- SPDX-FileCopyrightText: 2026 The drumpond developers
-- SPDX-License-Identifier: Apache-2.0
--
-- Two faults at once, or the same fault twice, and network partitions between data centres.

local World = require("world")

local function three_data_centres(options)
  options.data_centres = {"a", "b", "c"}
  options.daemons = 6
  options.servers = 3
  options.relays = true
  return World.new(options)
end

scenario("cut-off-data-centre-serves-what-it-can", function()
  local w = three_data_centres{}
  for number = 1, 3 do w:expect_ok(w:chat(number, "m" .. number)) end
  local models_in_b = {}
  for number = 1, 3 do
    if w:server_of(w:holders("m" .. number)[1]).data_centre == "b" then
      models_in_b[#models_in_b + 1] = "m" .. number
    end
  end
  w:cut_off("b", true, true)
  sleep(2000)
  for _, model in ipairs(models_in_b) do w:expect_ok(w:chat(2, model)) end
  for number = 4, 6 do
    local sent = w:chat(5, "m" .. number, {deadline_ms = 2500})
    w:expect_refused(sent, 503)
  end
  local revision = w:dump(w.daemons[2]).table_revision
  -- The other data centres continue, and the table is edited while b is cut off.
  local rows = w:table_of(w.daemons[1]).rows
  rows.__array = true
  rows[#rows + 1] = {kind = "setting", name = "note", value = "cut"}
  local response = w:post_table(w.daemons[1], {revision = revision, change = "during-cut", who = "x", rows = rows})
  check(response.status == 200, "an edit while b is cut off: " .. response.body)
  check(w:dump(w.daemons[2]).table_revision == revision, "b keeps its revision")
  w:cut_off("b", false, true)
  wait_until(5000, "b has caught up", function() return w:dump(w.daemons[2]).table_revision == revision + 1 end)
  for number = 1, 6 do w:expect_ok(w:chat(number, "m" .. number, {deadline_ms = 12000})) end
  w:check_guarantees()
end)

scenario("data-centres-cut-off-with-the-platform-reachable", function()
  local w = three_data_centres{}
  w:cut_off("a", true, false)
  sleep(1000)
  w:send_chats(24, {deadline_ms = 6000})
  w:check_guarantees()
  w:cut_off("a", false, false)
  wait_until(8000, "all daemons serve all models again", function()
    for number = 1, 6 do
      if w:await_response(w:chat(number, "m" .. number, {deadline_ms = 4000})).status ~= 200 then return false end
    end
    return true
  end)
  w:check_guarantees()
end)

scenario("pair-outage-and-daemon-death", function()
  local w = World.new{servers = 2, services = 1}
  for number = 1, 3 do w:expect_ok(w:chat(number, "m" .. number)) end
  w:platform_control{outage = true}
  w:kill(w.daemons[1])
  sleep(2000)
  for number = 1, 3 do w:expect_ok(w:chat(2, "m" .. number)) end
  w:expect_refused(w:chat(3, "m5"), 503)
  w:platform_control{outage = false}
  wait_until(10000, "loads resume", function()
    return w:await_response(w:chat(3, "m5", {deadline_ms = 3000})).status == 200
  end)
  w:restart_daemon(w.daemons[1])
  w:expect_ok(w:chat(1, "m6", {deadline_ms = 10000}))
  w:check_guarantees()
end)

scenario("pair-freeze-and-engine-restart", function()
  local w = World.new{servers = 2, ignore_fencing = true}
  w:send_chats(6)
  sleep(60)
  signal(w.daemons[1].pid, "STOP")
  w:kill(w.servers[1])
  w:restart_server(w.servers[1])
  sleep(1500)
  signal(w.daemons[1].pid, "CONT")
  w:send_chats(6)
  w:check_guarantees()
end)

scenario("pair-lost-answer-twice-and-freeze", function()
  local w = World.new{servers = 2, services = 1}
  w:platform_control{lose_answers = 2}
  w:send_chats(6)
  w:label(1, "parcel-21")
  sleep(30)
  signal(w.daemons[2].pid, "STOP")
  sleep(1500)
  w:platform_control{lose_answers = 2}
  w:label(1, "parcel-21")
  signal(w.daemons[2].pid, "CONT")
  w:label(3, "parcel-21")
  w:check_guarantees()
end)

scenario("pair-daemon-dies-twice", function()
  local w = World.new{servers = 2}
  for round = 1, 2 do
    w:send_chats(6)
    sleep(50)
    w:kill(w.daemons[2])
    sleep(200)
    w:restart_daemon(w.daemons[2])
  end
  w:check_guarantees()
  for number = 1, 6 do w:expect_ok(w:chat(number % 3 + 1, "m" .. number, {deadline_ms = 12000})) end
  w:check_guarantees()
end)

scenario("pair-slow-store-and-daemon-death", function()
  local w = World.new{servers = 2}
  call{method = "POST", url = w.weight_store .. "/control", body = encode{speed = 0.2}}
  w:send_chats(9, {deadline_ms = 6000})
  sleep(100)
  w:kill(w.daemons[3])
  w:check_guarantees()
  call{method = "POST", url = w.weight_store .. "/control", body = encode{speed = 1}}
  for number = 1, 6 do w:expect_ok(w:chat(1, "m" .. number, {deadline_ms = 15000})) end
  w:check_guarantees()
end)

scenario("pair-operators-race-and-lost-answer", function()
  local w = World.new{servers = 1}
  local seen = w:table_of(w.daemons[1]).revision
  w:platform_control{lose_answers = 1}
  local handles = {}
  for index = 1, 3 do
    local rows = w:table_of(w.daemons[1]).rows
    rows.__array = true
    rows[#rows + 1] = {kind = "setting", name = "note-" .. index, value = "x"}
    handles[index] = request{method = "POST", url = w.daemons[index].operators .. "/v1/table/apply",
      body = encode{revision = seen, change = "three-" .. index, who = "x", rows = rows}}
  end
  local accepted = 0
  for _, handle in ipairs(handles) do
    local response = wait_until(10000, "a response", function() return answer(handle) end)
    if response.status == 200 then accepted = accepted + 1 end
  end
  check(accepted == 1, "exactly one edit is accepted: " .. accepted)
  check(w:table_of(w.daemons[2]).revision == seen + 1, "the revision increased by one")
end)

scenario("pair-two-engines-die-while-the-platform-is-slow", function()
  local w = World.new{servers = 3}
  w:platform_control{slow_ms = 100}
  w:send_chats(12, {deadline_ms = 6000})
  sleep(300)
  w:kill(w.servers[1])
  w:kill(w.servers[2])
  w:restart_server(w.servers[1])
  w:restart_server(w.servers[2])
  w:check_guarantees()
  w:platform_control{slow_ms = 0}
  for number = 1, 6 do w:expect_ok(w:chat(1, "m" .. number, {deadline_ms = 12000})) end
  w:check_guarantees()
end)
