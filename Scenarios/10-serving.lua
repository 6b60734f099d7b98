-- SPDX-FileCopyrightText: 2026 The drumpond developers
-- SPDX-License-Identifier: Apache-2.0
--
-- Serving without faults, and invalid input.

local World = require("world")

scenario("burst-of-first-requests-makes-one-load", function()
  local w = World.new{data_centres = {"a", "b", "c"}, daemons = 6, servers = 3}
  for number = 1, 60 do w:chat((number - 1) % 6 + 1, "m1") end
  for _, sent in ipairs(w.sent) do w:expect_ok(sent) end
  check(w:ledger().fetches == 1, "one load for a burst: " .. w:ledger().fetches)
  w:check_guarantees()
end)

scenario("adapter-is-loaded-on-its-base", function()
  local w = World.new{adapters = {style = {parent = "m1", memory_mb = 500, replicas = 1}}}
  w:expect_ok(w:chat(1, "style"))
  w:expect_ok(w:chat(2, "m1"))
  check(w:holders("style")[1] == w:holders("m1")[1], "adapter and base are on one server")
  w:check_guarantees()
end)

scenario("memory-makes-room-by-eviction", function()
  local w = World.new{servers = 1, models = {m1 = {memory_mb = 50000, replicas = 1},
    m2 = {memory_mb = 50000, replicas = 1}}}
  w:expect_ok(w:chat(1, "m1"))
  w:expect_ok(w:chat(2, "m2"))
  check(#w:holders("m1") == 0, "m1 was evicted")
  w:expect_ok(w:chat(3, "m1"))
  w:check_guarantees()
end)

scenario("idle-model-is-unloaded", function()
  local w = World.new{exchange_rate = "1"}
  w:expect_ok(w:chat(1, "m1"))
  wait_until(8000, "m1 is unloaded", function() return #w:holders("m1") == 0 end)
  wait_until(3000, "its claim is freed", function() return #w:claims() == 0 end)
  w:check_guarantees()
end)

scenario("label-runs-once-for-two-senders", function()
  local w = World.new{services = 2, servers = 1}
  w:control(w.services[1], {late_ms = 300})
  w:control(w.services[2], {late_ms = 300})
  local first = w:label(1, "parcel-1")
  local second = w:label(2, "parcel-1")
  w:await_response(first)
  w:await_response(second)
  local again = w:label(3, "parcel-1")
  w:expect_ok(again)
  check(decode(again.answer.body).number, "the stored response is returned again")
  w:check_guarantees()
end)

scenario("bulk-job-is-run-and-kept", function()
  local w = World.new{}
  local id = w:submit_job(1, "m2", "plan-1")
  check(w:submit_job(2, "m2", "plan-1") == id, "the same key gives the same job")
  w:await_job(3, id)
  local result = call{url = w.daemons[2].url .. "/v1/jobs/" .. id .. "/result"}
  check(result.status == 200 and #decode(result.body).choices == 1, "the result is stored")
  w:check_guarantees()
end)

scenario("bad-input-gets-a-typed-refusal", function()
  local w = World.new{services = 1, servers = 1, daemons = 2}
  local url = w.daemons[1].url
  local function expect_error(options, status, type_name)
    options.method = options.method or "POST"
    local response = call(options)
    check(response.status == status, options.url .. " gives " .. status .. ": " .. response.status .. " " ..
      response.body)
    check(decode(response.body).error.type == type_name, "the type is " .. type_name .. ": " .. response.body)
    check(not decode(response.body).error.ran or decode(response.body).error.ran == "not_run", "it states not_run")
  end
  local chat = url .. "/v1/chat/completions"
  expect_error({url = chat, body = "{"}, 400, "invalid_input")
  expect_error({url = chat, body = "[]"}, 400, "invalid_input")
  expect_error({url = chat, body = encode{model = "m1"}}, 400, "invalid_input")
  expect_error({url = chat, body = encode{model = "none", messages = {{role = "user", content = "x"}}}}, 404, "not_found")
  expect_error({url = chat, headers = {["X-Deadline-Ms"] = "soon"},
    body = encode{model = "m1", messages = {{role = "user", content = "x"}}}}, 400, "invalid_input")
  expect_error({url = chat, body = string.rep("x", 5000000)}, 413, "body_too_large")
  expect_error({url = url .. "/services/none/x", body = "{}"}, 404, "not_found")
  expect_error({url = url .. "/services/labels/create", body = "{}"}, 400, "invalid_input")
  expect_error({url = url .. "/v1/jobs", body = "{}"}, 400, "invalid_input")
  expect_error({url = url .. "/nothing", method = "GET"}, 404, "not_found")
  expect_error({url = w.daemons[1].operators .. "/v1/table/apply", body = "{}"}, 400, "invalid_input")
  expect_error({url = w.daemons[1].operators .. "/v1/table/apply",
    body = encode{revision = 1, change = "x", rows = {{kind = "model", name = "m"}}}}, 400, "invalid_input")
  check(#w:claims() == 0, "nothing was claimed")
  check(w:control(w.services[1], {}).calls == 0, "nothing was run")
end)

-- All base models are loaded, each on one server. Each adapter must be loaded on the server of its base, without delay.
scenario("adapters-go-where-their-base-is", function()
  local adapters, models = {}, {}
  for number = 1, 6 do
    models["m" .. number] = {memory_mb = 10000, replicas = 1}
    adapters["style" .. number] = {parent = "m" .. number, memory_mb = 500, replicas = 1}
  end
  local w = World.new{servers = 3, adapters = adapters, models = models}
  for number = 1, 6 do w:expect_ok(w:chat(number % 3 + 1, "m" .. number)) end
  for number = 1, 6 do
    local sent = w:chat(number % 3 + 1, "style" .. number)
    w:expect_ok(sent)
    check(sent.answer.took_ms < 2000, "the adapter is loaded without delay: " .. sent.answer.took_ms)
  end
  w:check_guarantees()
end)
