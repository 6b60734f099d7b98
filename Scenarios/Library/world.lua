-- SPDX-FileCopyrightText: 2026 The drumpond developers
-- SPDX-License-Identifier: Apache-2.0
--
-- Library of the scenarios: a world of daemons and stand-ins, requests to it, faults, and checks that
-- rely on the records of the stand-ins only.

local World = {}
World.__index = World

local DAEMON_FLAGS = {
  "--heartbeat-ms", "100", "--dead-after-ms", "600", "--list-lag-ms", "1500",
  "--table-poll-ms", "300", "--report-ms", "100", "--order-settle-ms", "1200",
  "--freeze-limit-ms", "300", "--job-scan-ms", "300", "--stop-notice-ms", "200",
}

function check(condition, message)
  if not condition then error("check failed: " .. message, 2) end
end

-- Waits until `condition` returns a true value, and returns that value.
function wait_until(limit_ms, what, condition)
  local started_at = now()
  while true do
    local value = condition()
    if value then return value end
    if now() - started_at > limit_ms then error("not within " .. limit_ms .. " ms: " .. what, 2) end
    sleep(20)
  end
end

local function append(list, items)
  for _, item in ipairs(items) do list[#list + 1] = item end
  return list
end

-- Sends a request and waits for the response.
function call(options)
  local id = request(options)
  return wait_until((options.timeout_ms or 20000) + 2000, "response from " .. options.url, function()
    return answer(id)
  end)
end

-- options: data_centres; daemons and servers (totals over all data centres); services;
-- ignore_fencing (for all servers); server_flags, daemon_flags, weight_store_flags;
-- models (name -> {memory_mb, replicas, ...}); adapters (name -> {parent, memory_mb, replicas});
-- exchange_rate; relays (between the data centres)
function World.new(options)
  local self = setmetatable({}, World)
  self.options = options or {}
  self.data_centres = self.options.data_centres or {"north"}
  self.daemons, self.servers, self.services = {}, {}, {}
  self.sent, self.keys, self.replicas = {}, {}, {}
  self.platform = "http://" .. NET .. ".1:7000"
  self.weight_store = "http://" .. NET .. ".2:7000"
  start("platform", {"standin-platform", "--address", NET .. ".1", "--port", "7000", "--vm-lag-ms", "50"})
  start("weight-store", append({"standin-weight-store", "--address", NET .. ".2", "--port", "7000",
    "--load-ms", "150", "--starts-per-second", "30"}, self.options.weight_store_flags or {}))
  self:await_url(self.platform .. "/control")
  self:await_url(self.weight_store .. "/control")
  for index = 1, self.options.servers or 3 do self:add_server(index) end
  for index = 1, self.options.services or 0 do self:add_service(index) end
  for index = 1, self.options.daemons or 3 do self:add_daemon(index) end
  if self.options.relays then self:open_relays() end
  self:update_vm_list()
  for _, daemon in ipairs(self.daemons) do self:start_daemon(daemon) end
  for _, daemon in ipairs(self.daemons) do self:await_ready(daemon) end
  self:apply_table(self:table_rows())
  self:await_connected()
  return self
end

function World:data_centre_at(index)
  return self.data_centres[(index - 1) % #self.data_centres + 1]
end

function World:await_url(url)
  wait_until(10000, "response from " .. url, function()
    return call{url = url, timeout_ms = 1000}.status ~= 0
  end)
end

function World:add_server(index)
  local server = {vm = "runner-" .. index, data_centre = self:data_centre_at(index), starts = 0}
  server.address = NET .. "." .. (50 + index) .. ":7400"
  server.url = "http://" .. server.address
  server.ignores_fencing = self.options.ignore_fencing
  self.servers[index] = server
  self:start_server(server)
end

function World:start_server(server)
  server.starts = server.starts + 1
  local command = {"standin-engine", "--vm", server.vm, "--address", server.address:match("^[^:]+"),
    "--port", "7400", "--weight-store", self.weight_store, "--token-ms", "2", "--report-lag-ms", "50"}
  if server.ignores_fencing then append(command, {"--ignore-fencing"}) end
  append(command, self.options.server_flags or {})
  server.pid = start(server.vm, command)
  self:await_url(server.url .. "/control")
end

function World:add_service(index)
  local service = {vm = "service-" .. index, data_centre = self:data_centre_at(index)}
  service.address = NET .. "." .. (80 + index) .. ":7500"
  service.url = "http://" .. service.address
  service.pid = start(service.vm, {"standin-plain-service", "--address",
    service.address:match("^[^:]+"), "--port", "7500"})
  self:await_url(service.url .. "/control")
  self.services[index] = service
end

function World:add_daemon(index)
  local ip = NET .. "." .. (10 + index)
  self.daemons[index] = {index = index, vm = "entry-" .. index, data_centre = self:data_centre_at(index),
    url = "http://" .. ip .. ":7100", operators = "http://" .. ip .. ":7200",
    operators_address = ip .. ":7200", peers = ip .. ":7300", ip = ip, starts = 0}
end

function World:start_daemon(daemon, extra_flags)
  daemon.starts = daemon.starts + 1
  local command = {"drumpondd", "--vm", daemon.vm, "--data-centre", daemon.data_centre,
    "--listen", daemon.ip .. ":7100", "--operators", daemon.ip .. ":7200",
    "--peers-listen", daemon.peers, "--platform", self.platform}
  append(append(append(command, DAEMON_FLAGS), self.options.daemon_flags or {}), extra_flags or {})
  daemon.pid = start(daemon.vm .. "-" .. daemon.starts, command)
end

function World:await_ready(daemon)
  wait_until(10000, daemon.vm .. " is ready", function()
    return call{url = daemon.operators .. "/readyz", timeout_ms = 1000}.status == 200
  end)
end

function World:dump(daemon)
  local response = call{url = daemon.operators .. "/dump", timeout_ms = 2000}
  return response.status == 200 and decode(response.body) or nil
end

-- Waits until every daemon sees all daemons as alive and all servers as ready.
function World:await_connected()
  for _, daemon in ipairs(self.daemons) do
    wait_until(10000, daemon.vm .. " is connected", function()
      local dump = self:dump(daemon)
      if not dump or #dump.servers < #self.servers then return false end
      local alive = 0
      for _, peer in ipairs(dump.daemons) do if peer.alive then alive = alive + 1 end end
      for _, server in ipairs(dump.servers) do if not server.ready then return false end end
      return alive == #self.daemons
    end)
  end
end

-- Opens a relay for each direction between each pair of daemons in different data centres.
local relay_port = 20000
function World:open_relays()
  self.relays = {}
  for _, from in ipairs(self.daemons) do
    for _, to in ipairs(self.daemons) do
      if from.data_centre ~= to.data_centre then
        relay_port = relay_port + 1
        local listen = NET .. ".100:" .. relay_port
        self.relays[#self.relays + 1] = {from = from, to = to, listen = listen,
          id = relay(listen, to.peers)}
      end
    end
  end
end

function World:vm_entries(viewer)
  local entries = {__array = true}
  for _, daemon in ipairs(self.daemons) do
    local address = daemon.peers
    for _, link in ipairs(self.relays or {}) do
      if viewer and link.from == viewer and link.to == daemon then address = link.listen end
    end
    if not daemon.unlisted then
      entries[#entries + 1] = {id = daemon.vm, role = "entry", state = daemon.state or "live",
        data_centre = daemon.data_centre, address = address}
    end
  end
  for _, server in ipairs(self.servers) do
    if not server.unlisted then
      entries[#entries + 1] = {id = server.vm, role = "backend", state = server.state or "live",
        data_centre = server.data_centre}
    end
  end
  return entries
end

function World:update_vm_list()
  local body = {vms = self:vm_entries()}
  if self.relays then
    body.vms_for = {}
    for _, daemon in ipairs(self.daemons) do body.vms_for[daemon.vm] = self:vm_entries(daemon) end
  end
  self:platform_control(body)
end

function World:platform_control(body)
  return decode(call{method = "POST", url = self.platform .. "/control", body = encode(body)}.body)
end

function World:platform_rows()
  return decode(call{url = self.platform .. "/control"}.body).rows
end

function World:control(server, body)
  return decode(call{method = "POST", url = server.url .. "/control", body = encode(body)}.body)
end

function World:ledger()
  return decode(call{url = self.weight_store .. "/control"}.body)
end

-- Starts or ends a network partition between a data centre and the others. It affects daemons and
-- backend servers, and with `platform` also the calls to the platform by the daemons inside.
function World:cut_off(data_centre, is_cut, platform)
  for _, link in ipairs(self.relays) do
    if (link.from.data_centre == data_centre) ~= (link.to.data_centre == data_centre) then cut(link.id, is_cut) end
  end
  local inside, outside = {__array = true}, {__array = true}
  for _, daemon in ipairs(self.daemons) do
    local side = daemon.data_centre == data_centre and inside or outside
    side[#side + 1] = daemon.vm
  end
  for _, server in ipairs(self.servers) do
    local unreachable_vms = server.data_centre == data_centre and outside or inside
    self:control(server, {cut = is_cut and unreachable_vms or {__array = true}})
  end
  if platform then self:platform_control{cut = is_cut and inside or {__array = true}} end
end

function World:default_models()
  local models = {}
  for index = 1, 6 do models["m" .. index] = {memory_mb = 30000, replicas = 1} end
  return models
end

-- Rows of the initial table.
function World:table_rows()
  local rows = {__array = true}
  local function add(row) rows[#rows + 1] = row end
  for _, data_centre in ipairs(self.data_centres) do add{kind = "data_centre", name = data_centre} end
  add{kind = "pool", name = "models"}
  add{kind = "pool", name = "labels"}
  add{kind = "setting", name = "cold_start_exchange_rate", value = self.options.exchange_rate or "1000"}
  add{kind = "setting", name = "weight_store_starts_per_second", value = "30"}
  add{kind = "setting", name = "stall_ms", value = "1500"}
  for _, server in ipairs(self.servers) do
    add{kind = "backend_server", name = server.vm, parent = "models", data_centre = server.data_centre,
      address = server.address, memory_mb = 80000, fencing = server.ignores_fencing and "ignores" or "checks"}
  end
  for _, service in ipairs(self.services) do
    add{kind = "backend_server", name = service.vm, parent = "labels", data_centre = service.data_centre,
      address = service.address, fencing = "ignores"}
  end
  for name, model in pairs(self.options.models or self:default_models()) do
    add{kind = "model", name = name, parent = "models", memory_mb = model.memory_mb,
      replicas = model.replicas, weight = model.weight, limit = model.limit}
    self.replicas[name] = math.max(self.replicas[name] or 0, model.replicas)
  end
  for name, adapter in pairs(self.options.adapters or {}) do
    add{kind = "adapter", name = name, parent = adapter.parent, memory_mb = adapter.memory_mb,
      replicas = adapter.replicas}
    self.replicas[name] = math.max(self.replicas[name] or 0, adapter.replicas)
  end
  add{kind = "plain_service", name = "labels", parent = "labels"}
  add{kind = "call", name = "create", parent = "labels", repeatable = false, value = "/create"}
  add{kind = "call", name = "track", parent = "labels", repeatable = true, value = "/track"}
  return rows
end

function World:table_of(daemon)
  return decode(call{url = daemon.operators .. "/v1/table?fresh=1"}.body)
end

function World:post_table(daemon, body)
  return call{method = "POST", url = daemon.operators .. "/v1/table/apply", body = encode(body),
    timeout_ms = 8000}
end

local edits = 0
function World:apply_table(rows, daemon)
  daemon = daemon or self.daemons[1]
  edits = edits + 1
  local seen = self:table_of(daemon).revision
  local response = self:post_table(daemon, {revision = seen, change = "edit-" .. edits, who = "scenario", rows = rows})
  check(response.status == 200, "the table is accepted: " .. response.body)
  local revision = decode(response.body).revision
  for _, each in ipairs(self.daemons) do
    if not each.down then
      wait_until(5000, "revision " .. revision .. " in force at " .. each.vm, function()
        local dump = self:dump(each)
        return dump and dump.table_revision >= revision
      end)
    end
  end
  return revision
end

-- Requests ---------------------------------------------------------------------------------------

local request_number = 0
local function next_request_id()
  request_number = request_number + 1
  return string.format("q%d.%d", request_number, now())
end

-- Sends a chat to daemon number `index`; `check_response` checks the response.
function World:chat(index, model, options)
  options = options or {}
  local id = next_request_id()
  local deadline = options.deadline_ms or 8000
  local sent = {id = id, model = model, kind = "chat", stream = options.stream ~= false, deadline = deadline}
  sent.handle = request{method = "POST", url = self.daemons[index].url .. "/v1/chat/completions",
    timeout_ms = deadline + 15000,
    headers = {["X-Request-Id"] = id, ["X-Deadline-Ms"] = tostring(deadline)},
    body = encode{model = model, stream = sent.stream, max_tokens = options.max_tokens or 8,
      messages = {{role = "user", content = options.prompt or "hello"}}}}
  sent.max_tokens = options.max_tokens or 8
  self.sent[#self.sent + 1] = sent
  return sent
end

-- Sends chats for all models to all running daemons; each daemon gets one for each model in turn.
function World:send_chats(count, options)
  for number = 1, count do
    local index = (number - 1) % #self.daemons + 1
    local model = "m" .. ((number - 1) // #self.daemons + number) % 6 + 1
    if not self.daemons[index].down then self:chat(index, model, options) end
  end
end

-- Sends a first chat for m1 whose load order is delayed by 3 s; returns the chat and the daemon that
-- sends the order.
function World:delay_first_order(deadline_ms)
  self:control(self.servers[1], {order_delay_ms = 3000})
  local sent = self:chat(1, "m1", {deadline_ms = deadline_ms})
  wait_until(5000, "a claim is written", function() return #self:claims() > 0 end)
  sleep(150)
  self:control(self.servers[1], {order_delay_ms = 0})
  return sent, self:daemon_of(self:claims()[1].claim.holder)
end

function World:label(index, key, options)
  options = options or {}
  local id = next_request_id()
  local sent = {id = id, kind = "label", key = key, deadline = options.deadline_ms or 5000}
  sent.handle = request{method = "POST", url = self.daemons[index].url .. "/services/labels/create",
    timeout_ms = sent.deadline + 15000,
    headers = {["X-Request-Id"] = id, ["Idempotency-Key"] = key, ["X-Deadline-Ms"] = tostring(sent.deadline)},
    body = encode{parcel = key}}
  self.sent[#self.sent + 1] = sent
  self.keys[key] = true
  return sent
end

function World:submit_job(index, model, key)
  local response = call{method = "POST", url = self.daemons[index].url .. "/v1/jobs",
    headers = {["Idempotency-Key"] = key},
    body = encode{model = model, messages = {{role = "user", content = "plan"}}}}
  return response.status == 202 and decode(response.body).id or nil, response
end

function World:await_job(index, id, limit_ms)
  return wait_until(limit_ms or 15000, "job " .. id .. " is done", function()
    local response = call{url = self.daemons[index].url .. "/v1/jobs/" .. id, timeout_ms = 3000}
    return response.status == 200 and decode(response.body).state == "done"
  end)
end

function World:await_response(sent, slack_ms)
  sent.answer = wait_until(sent.deadline + (slack_ms or 6000), "a response to " .. sent.id, function()
    return answer(sent.handle)
  end)
  return sent.answer
end

function World:expect_ok(sent)
  local response = self:await_response(sent)
  check(response.status == 200, sent.id .. " is served: " .. response.status .. " " .. response.body)
  self:check_response(sent)
  return response
end

-- Expects a refusal that states not_run.
function World:expect_refused(sent, status)
  local response = self:await_response(sent)
  check(response.status == status, sent.id .. " is refused with " .. status .. ": " .. response.status .. " " ..
    response.body)
  check(decode(response.body).error.ran == "not_run", "the refusal states not_run: " .. response.body)
  return response
end

-- A complete response contains all tokens of its own request and none of another request.
function World:check_response(sent)
  local body = sent.answer.body
  if sent.kind ~= "chat" or sent.answer.status ~= 200 then return end
  local tokens = 0
  for owner, number in body:gmatch("(q%d+%.%d+):(%d+) ") do
    check(owner == sent.id, "the response to " .. sent.id .. " contains only its own tokens")
    check(tonumber(number) == tokens, "the tokens of " .. sent.id .. " are in order")
    tokens = tokens + 1
  end
  local has_end_marker = not sent.stream or body:find("data: [DONE]", 1, true)
  local has_error = body:find("event: error", 1, true)
  check(has_error or (has_end_marker and tokens == sent.max_tokens),
    "an incomplete stream ends with an error: " .. sent.id)
end

-- Checks the guarantees of the system against the records of the stand-ins.
function World:check_guarantees()
  for _, sent in ipairs(self.sent) do
    if not sent.answer then self:await_response(sent) end
    self:check_response(sent)
    sent.late_ms = sent.answer.took_ms - sent.deadline
  end
  local runs, runs_by_key = {}, {}
  for _, server in ipairs(self.servers) do
    if not server.down then
      local record = self:control(server, {})
      check(not record.overcommitted, server.vm .. " never used more than its memory: " .. record.peak_mb)
      for id, count in pairs(record.runs) do runs[id] = (runs[id] or 0) + count end
    end
  end
  for _, service in ipairs(self.services) do
    local record = self:control(service, {})
    for id, count in pairs(record.runs_by_request) do runs[id] = (runs[id] or 0) + count end
    for key, count in pairs(record.runs_by_key) do runs_by_key[key] = (runs_by_key[key] or 0) + count end
  end
  for _, sent in ipairs(self.sent) do
    local refusal = sent.answer.status ~= 200 and decode(sent.answer.body)
    if type(refusal) == "table" and refusal.error and refusal.error.ran == "not_run" then
      check((runs[sent.id] or 0) == 0, "a request refused with not_run has not run: " .. sent.id)
    end
  end
  for key in pairs(self.keys) do
    check((runs_by_key[key] or 0) <= 1, "the call with key " .. key .. " ran at most once: " .. (runs_by_key[key] or 0))
  end
  for artifact, peak in pairs(self:ledger().peaks) do
    check(peak <= (self.replicas[artifact] or 0), "no more replicas of " .. artifact ..
      " than the table allows: " .. peak)
  end
end

-- VMs that hold an artifact now, according to the weight store's ledger.
function World:holders(artifact)
  return self:ledger().holders[artifact] or {}
end

function World:server_of(vm)
  for _, server in ipairs(self.servers) do if server.vm == vm then return server end end
end

function World:daemon_of(vm)
  for _, daemon in ipairs(self.daemons) do if daemon.vm == vm then return daemon end end
end

function World:manager_of(vm)
  return wait_until(5000, "a daemon that manages " .. vm, function()
    for _, daemon in ipairs(self.daemons) do
      local dump = not daemon.down and self:dump(daemon)
      for _, server in ipairs(dump and dump.servers or {}) do
        if server.vm == vm and server.kept_here then return daemon end
      end
    end
  end)
end

function World:kill(process)
  signal(process.pid, "KILL")
  wait_until(5000, "the process has exited", function() return ended(process.pid) end)
  process.down = true
end

function World:restart_daemon(daemon, extra_flags)
  daemon.down = nil
  self:start_daemon(daemon, extra_flags)
  self:await_ready(daemon)
end

function World:restart_server(server)
  server.down = nil
  self:start_server(server)
end

-- Claims in the platform's rows, as a list of {server, claim}.
function World:claims()
  local claims = {}
  for key, value in pairs(self:platform_rows()) do
    local server = key:match("^server/(.+)$")
    if server then
      for _, claim in ipairs(decode(value).claims) do claims[#claims + 1] = {server = server, claim = claim} end
    end
  end
  return claims
end

return World
