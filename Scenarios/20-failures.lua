-- SPDX-FileCopyrightText: 2026 The drumpond developers
-- SPDX-License-Identifier: Apache-2.0
--
-- Single faults: processes that are killed or suspended, a platform or weight store that fails or is
-- slow, and wrong responses.

local World = require("world")

scenario("engine-dies-in-the-middle-of-a-load", function()
  local w = World.new{servers = 3}
  w:control(w.servers[1], {die_in_load = true})
  w:control(w.servers[2], {die_in_load = true})
  w:send_chats(12)
  wait_until(8000, "a server has crashed", function()
    return ended(w.servers[1].pid) or ended(w.servers[2].pid)
  end)
  sleep(200)
  for number = 1, 2 do
    if ended(w.servers[number].pid) then w:restart_server(w.servers[number]) end
  end
  w:check_guarantees()
  for number = 1, 6 do w:expect_ok(w:chat(1, "m" .. number)) end
  w:check_guarantees()
end)

scenario("daemon-dies-in-the-middle-of-a-load", function()
  local w = World.new{servers = 2, weight_store_flags = {"--load-ms", "600"}}
  w:send_chats(6)
  wait_until(5000, "a load is in progress", function() return w:ledger().fetches > 0 end)
  local manager = w:manager_of(w:claims()[1].server)
  w:kill(manager)
  for index, daemon in ipairs(w.daemons) do
    if not daemon.down then w:expect_ok(w:chat(index, "m1", {deadline_ms = 12000})) end
  end
  w:check_guarantees()
end)

scenario("frozen-daemon-acts-late-on-an-engine-that-checks", function()
  local w = World.new{servers = 1, models = {m1 = {memory_mb = 50000, replicas = 1},
    m2 = {memory_mb = 50000, replicas = 1}}}
  local manager = w:manager_of("runner-1")
  w:control(w.servers[1], {order_delay_ms = 700})
  local delayed = w:chat(manager.index, "m1", {deadline_ms = 3000})
  wait_until(5000, "a claim is written", function() return #w:claims() > 0 end)
  signal(manager.pid, "STOP")
  w:control(w.servers[1], {order_delay_ms = 0})
  local other = w.daemons[manager.index % 3 + 1]
  w:expect_ok(w:chat(other.index, "m2", {deadline_ms = 15000}))
  signal(manager.pid, "CONT")
  sleep(800)
  w:await_response(delayed)
  w:expect_ok(w:chat(other.index, "m1", {deadline_ms = 15000}))
  w:check_guarantees()
end)

-- The order of a suspended daemon is in transit for 3 s, to a server that ignores fencing and would carry it out.
scenario("frozen-daemon-acts-late-on-an-engine-that-ignores", function()
  local w = World.new{servers = 1, ignore_fencing = true, models = {m1 = {memory_mb = 50000, replicas = 1},
    m2 = {memory_mb = 50000, replicas = 1}}}
  local delayed, holder = w:delay_first_order(5000)
  signal(holder.pid, "STOP")
  local other = w.daemons[holder.index % 3 + 1]
  for _ = 1, 6 do
    w:chat(other.index, "m2", {deadline_ms = 2500})
    sleep(400)
  end
  sleep(1500)
  signal(holder.pid, "CONT")
  w:await_response(delayed)
  w:check_guarantees()
  w:expect_ok(w:chat(other.index, "m2", {deadline_ms = 15000}))
  w:check_guarantees()
end)

-- A daemon is suspended while it waits for the response to its claim. Another takes over, and the first one resumes.
scenario("daemon-freezes-between-claim-and-order", function()
  local w = World.new{servers = 1, models = {m1 = {memory_mb = 50000, replicas = 1},
    m2 = {memory_mb = 50000, replicas = 1}}}
  w:platform_control{answer_delay_ms = 400}
  local delayed = w:chat(1, "m1", {deadline_ms = 6000})
  wait_until(5000, "a claim is written", function() return #w:claims() > 0 end)
  local holder = w:daemon_of(w:claims()[1].claim.holder)
  signal(holder.pid, "STOP")
  w:platform_control{answer_delay_ms = 0}
  local other = w.daemons[holder.index % 3 + 1]
  w:expect_ok(w:chat(other.index, "m2", {deadline_ms = 15000}))
  signal(holder.pid, "CONT")
  sleep(700)
  w:await_response(delayed)
  w:expect_ok(w:chat(other.index, "m1", {deadline_ms = 15000}))
  w:check_guarantees()
end)

-- An order is in transit when its sender is killed. Meanwhile its model must still count as possibly loaded.
scenario("order-of-unknown-outcome-stays-counted-in-quarantine", function()
  local w = World.new{servers = 1, ignore_fencing = true, models = {m1 = {memory_mb = 50000, replicas = 1},
    m2 = {memory_mb = 50000, replicas = 1}}}
  local _, holder = w:delay_first_order(2500)
  w:kill(holder)
  local other = w.daemons[holder.index % 3 + 1]
  for _ = 1, 5 do
    w:chat(other.index, "m2", {deadline_ms = 2000})
    sleep(400)
  end
  w:check_guarantees()
  w:expect_ok(w:chat(other.index, "m2", {deadline_ms = 15000}))
  w:check_guarantees()
end)

-- The sender of an order is killed and restarted. During the settling time its order may still be in transit.
scenario("order-of-a-restarted-daemon-settles-late", function()
  local w = World.new{servers = 1, ignore_fencing = true, daemon_flags = {"--order-settle-ms", "4000"},
    models = {m1 = {memory_mb = 50000, replicas = 1}, m2 = {memory_mb = 50000, replicas = 1}}}
  local _, holder = w:delay_first_order(2500)
  w:kill(holder)
  w:restart_daemon(holder)
  local other = w.daemons[holder.index % 3 + 1]
  for _ = 1, 6 do
    w:chat(other.index, "m2", {deadline_ms = 1500})
    sleep(400)
  end
  sleep(1000)
  w:check_guarantees()
  w:expect_ok(w:chat(other.index, "m2", {deadline_ms = 15000}))
  w:check_guarantees()
end)

scenario("lost-answers-of-the-platform", function()
  local w = World.new{servers = 3, services = 1}
  w:platform_control{lose_answers = 3}
  w:send_chats(12)
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  w:platform_control{lose_answers = 2}
  local label = w:label(1, "parcel-7")
  w:expect_ok(label)
  w:platform_control{lose_answers = 1}
  local id = w:submit_job(2, "m3", "plan-7")
  check(id, "the job is accepted")
  w:await_job(1, id)
  w:check_guarantees()
end)

scenario("platform-outage-serves-what-is-loaded", function()
  local w = World.new{servers = 2, services = 1}
  w:expect_ok(w:chat(1, "m1"))
  w:platform_control{outage = true}
  sleep(1500)
  for index = 1, 3 do w:expect_ok(w:chat(index, "m1")) end
  local started_at = now()
  local cold = w:expect_refused(w:chat(2, "m2"), 503)
  check(now() - started_at < 1500, "a request for a model that cannot be loaded is refused immediately: " ..
    now() - started_at)
  check(cold.headers["retry-after"], "the refusal has a Retry-After header")
  w:expect_refused(w:label(1, "parcel-8"), 503)
  check(not w:submit_job(1, "m1", "plan-8"), "a job that cannot be stored is not accepted")
  w:platform_control{outage = false}
  wait_until(8000, "loads resume", function()
    local sent = w:chat(2, "m2")
    return w:await_response(sent).status == 200
  end)
  w:expect_ok(w:label(1, "parcel-8"))
  w:check_guarantees()
end)

scenario("slow-platform", function()
  local w = World.new{servers = 3, services = 1}
  w:platform_control{slow_ms = 250}
  w:send_chats(9, {deadline_ms = 15000})
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  w:expect_ok(w:label(1, "parcel-9"))
  w:platform_control{slow_ms = 0}
  w:check_guarantees()
end)

scenario("slow-weight-store-refuses-in-time", function()
  local w = World.new{servers = 2}
  call{method = "POST", url = w.weight_store .. "/control", body = encode{speed = 0.01}}
  local sent = w:chat(1, "m1", {deadline_ms = 1000})
  w:expect_refused(sent, 504)
  check(sent.answer.took_ms < 1500, "refused soon after the deadline: " .. sent.answer.took_ms)
  call{method = "POST", url = w.weight_store .. "/control", body = encode{speed = 1}}
  wait_until(10000, "m1 is served", function() return w:await_response(w:chat(2, "m1")).status == 200 end)
  w:check_guarantees()
end)

scenario("stream-cut-short-is-an-error", function()
  local w = World.new{servers = 1}
  w:expect_ok(w:chat(1, "m1"))
  w:control(w.servers[1], {cut_stream_after = 3})
  local sent = w:chat(2, "m1")
  local response = w:await_response(sent)
  check(response.status == 0 or response.body:find("event: error", 1, true),
    "the caller gets an error: " .. response.body)
  check(not response.body:find("[DONE]", 1, true), "no end marker")
  w:check_guarantees()
end)

scenario("crossed-answers-are-never-passed-on", function()
  local w = World.new{servers = 1, services = 1}
  w:expect_ok(w:chat(1, "m1"))
  w:control(w.servers[1], {cross = true})
  local stream_chat, complete_chat = w:chat(1, "m1"), w:chat(2, "m1", {stream = false})
  check(w:await_response(stream_chat).status == 502, "crossed stream: " .. stream_chat.answer.status)
  check(w:await_response(complete_chat).status == 502, "crossed response: " .. complete_chat.answer.status)
  w:control(w.services[1], {cross = true})
  local label = w:label(1, "parcel-10")
  check(w:await_response(label).status == 502, "crossed label")
  check(decode(label.answer.body).error.ran == "unknown", "the outcome is unknown")
  w:control(w.services[1], {cross = false})
  check(w:await_response(w:label(2, "parcel-10")).status == 502, "the call is not sent again")
  w:check_guarantees()
end)

scenario("stalled-engine-ends-in-time", function()
  local w = World.new{servers = 1}
  w:expect_ok(w:chat(1, "m1"))
  w:control(w.servers[1], {stall = true})
  local sent = w:chat(1, "m1", {deadline_ms = 1200})
  w:await_response(sent)
  check(sent.answer.status ~= 200 or sent.answer.body:find("event: error", 1, true), "the request fails")
  check(sent.answer.took_ms < 4500, "within the time limit: " .. sent.answer.took_ms)
  w:control(w.servers[1], {stall = false})
  w:check_guarantees()
end)

scenario("label-breaks-off-after-the-run", function()
  local w = World.new{services = 2, servers = 1}
  w:control(w.services[1], {cut = 1})
  w:control(w.services[2], {cut = 1})
  local label = w:label(1, "parcel-11")
  check(w:await_response(label).status == 502, "the outcome is unknown: " .. label.answer.status)
  check(decode(label.answer.body).error.ran == "unknown", "and reported as unknown")
  for index = 1, 3 do
    check(w:await_response(w:label(index, "parcel-11")).status == 502, "the call is never sent again")
  end
  w:check_guarantees()
end)

scenario("declining-service-is-left-for-another", function()
  local w = World.new{services = 2, servers = 1}
  w:control(w.services[1], {refuse = true})
  for number = 1, 6 do w:expect_ok(w:label(1, "parcel-12-" .. number)) end
  w:control(w.services[2], {refuse = true})
  w:expect_refused(w:label(2, "parcel-13"), 503)
  w:control(w.services[1], {refuse = false})
  w:expect_ok(w:label(3, "parcel-13"))
  w:check_guarantees()
end)

scenario("daemon-dies-with-a-label-under-way", function()
  local w = World.new{services = 1, servers = 1}
  w:control(w.services[1], {late_ms = 1500})
  w:label(1, "parcel-14")
  wait_until(3000, "the call has arrived", function() return w:control(w.services[1], {}).calls == 1 end)
  w:kill(w.daemons[1])
  local again = w:label(2, "parcel-14")
  check(w:await_response(again).status ~= 200, "the call is not reported as successful")
  sleep(1000)
  w:restart_daemon(w.daemons[1])
  check(w:await_response(w:label(1, "parcel-14")).status == 502, "its outcome stays unknown")
  w:check_guarantees()
end)

scenario("job-outlives-its-daemon", function()
  local w = World.new{servers = 2, server_flags = {"--token-ms", "100"}}
  local id = w:submit_job(1, "m1", "plan-2")
  check(id, "the job is accepted")
  w:kill(w.daemons[1])
  w:await_job(2, id, 20000)
  w:check_guarantees()
end)

scenario("job-of-a-frozen-daemon-has-one-result", function()
  local w = World.new{servers = 2, server_flags = {"--token-ms", "60"}}
  local id = w:submit_job(1, "m1", "plan-3")
  signal(w.daemons[1].pid, "STOP")
  w:await_job(2, id, 20000)
  local first = call{url = w.daemons[2].url .. "/v1/jobs/" .. id .. "/result"}.body
  signal(w.daemons[1].pid, "CONT")
  sleep(1500)
  check(call{url = w.daemons[1].url .. "/v1/jobs/" .. id .. "/result"}.body == first, "both daemons return the same result")
  w:check_guarantees()
end)

scenario("leaving-backend-server-gets-no-new-work", function()
  local w = World.new{servers = 2, models = {m1 = {memory_mb = 20000, replicas = 2, limit = 1}}}
  for number = 1, 8 do w:chat(number % 3 + 1, "m1") end
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  wait_until(5000, "two replicas", function() return #w:holders("m1") >= 1 end)
  local leaving = w:server_of(w:holders("m1")[1])
  leaving.state = "leaving"
  w:update_vm_list()
  sleep(3000)
  local function runs()
    local total = 0
    for _, count in pairs(w:control(leaving, {}).runs) do total = total + count end
    return total
  end
  local before = runs()
  for number = 1, 9 do w:chat(number % 3 + 1, "m1") end
  for number = 9, #w.sent do w:await_response(w.sent[number]) end
  check(runs() == before, "no new requests after 3 s")
  w:check_guarantees()
end)

scenario("engine-that-is-not-ready-gets-no-new-work", function()
  local w = World.new{servers = 2}
  w:expect_ok(w:chat(1, "m1"))
  local server = w:server_of(w:holders("m1")[1])
  w:control(server, {leaving = true})
  sleep(1000)
  local response = w:await_response(w:chat(2, "m1", {deadline_ms = 1500}))
  check(response.status ~= 200, "the only replica takes no requests")
  local other = w:chat(3, "m2")
  w:expect_ok(other)
  w:check_guarantees()
end)

scenario("reclaimed-backend-server-frees-its-replicas", function()
  local w = World.new{servers = 2}
  w:expect_ok(w:chat(1, "m1"))
  local server = w:server_of(w:holders("m1")[1])
  w:kill(server)
  server.unlisted = true
  w:update_vm_list()
  -- The memory is lost with the VM. No server is left to report that to the ledger, so the test does.
  call{method = "POST", url = w.weight_store .. "/ledger", body = encode{vm = server.vm, reset = true}}
  wait_until(12000, "m1 is served elsewhere", function()
    return w:await_response(w:chat(2, "m1", {deadline_ms = 2000})).status == 200
  end)
  w:check_guarantees()
end)

scenario("planned-stop-cuts-off-no-request", function()
  local w = World.new{servers = 2, server_flags = {"--token-ms", "40"}}
  w:expect_ok(w:chat(1, "m1"))
  for _ = 1, 5 do w:chat(1, "m1", {max_tokens = 40}) end
  w:chat(1, "m2", {max_tokens = 20, deadline_ms = 10000})
  sleep(100)
  signal(w.daemons[1].pid, "TERM")
  wait_until(1000, "not ready", function()
    return call{url = w.daemons[1].operators .. "/readyz", timeout_ms = 500}.status ~= 200
  end)
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  local status = wait_until(10000, "the daemon has exited", function() return ended(w.daemons[1].pid) end)
  check(status == 0, "exit status 0: " .. status)
  w.daemons[1].down = true
  for number = 1, 6 do w:expect_ok(w:chat(2, "m" .. number)) end
  w:check_guarantees()
end)
