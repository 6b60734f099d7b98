// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Runs scenarios: Lua scripts that start daemons and stand-ins on loopback addresses, inject
// faults, and check what the stand-ins recorded. The Lua function `sleep` runs the main loop, so
// relays and requests in flight make progress meanwhile.

#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include <cxxopts.hpp>
#include <glib.h>
#include <lua.hpp>

#include "Common/Loop.h"
#include "Http/Client.h"
#include "ScenarioRunner/LuaJson.h"
#include "ScenarioRunner/Processes.h"
#include "ScenarioRunner/Relay.h"

namespace
{
using Common::Json;
using Common::Milliseconds;

/// Resources of one scenario.
struct ScenarioResources
{
  explicit ScenarioResources(const std::string& log_directory) : processes(log_directory) {}

  ScenarioRunner::Processes processes;
  std::vector<std::unique_ptr<ScenarioRunner::Relay>> relays;
  Http::Client client;
  std::map<int, Json> responses;
  int next_request_id = 1;
};

struct RunnerState
{
  std::string program_directory;
  std::string network_prefix; ///< First three bytes of all loopback addresses.
  std::string name_filter;
  std::string log_root;
  std::unique_ptr<ScenarioResources> resources;
  int passed = 0;
  int failed = 0;
};

RunnerState& GetRunner()
{
  static RunnerState s_runner;
  return s_runner;
}

void RunMainLoopFor(Milliseconds time)
{
  bool expired = false;
  Common::CallAfter(time, [&expired] {
    expired = true;
  });
  while (!expired)
    g_main_context_iteration(nullptr, TRUE);
}

/// start(name, {program, arguments...}) -> process id
int LuaStart(lua_State* lua)
{
  RunnerState& runner = GetRunner();
  const std::string name = luaL_checkstring(lua, 1);
  std::vector<std::string> command;
  for (const Json& argument : ScenarioRunner::ToJson(lua, 2))
    command.push_back(argument.is_string() ? argument.get<std::string>() : argument.dump());
  command.front() = runner.program_directory + "/" + command.front();
  lua_pushinteger(lua, runner.resources->processes.Start(name, command));
  return 1;
}

/// signal(process id, "STOP" | "CONT" | "TERM" | "KILL")
int LuaSignal(lua_State* lua)
{
  static const std::map<std::string, int> s_signals{
      {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"TERM", SIGTERM}, {"KILL", SIGKILL}};
  const int pid = static_cast<int>(luaL_checkinteger(lua, 1));
  const auto found = s_signals.find(luaL_checkstring(lua, 2));
  if (found == s_signals.end())
    return luaL_error(lua, "unknown signal");
  GetRunner().resources->processes.Signal(pid, found->second);
  return 0;
}

/// ended(process id) -> exit status or nil
int LuaEnded(lua_State* lua)
{
  const auto status =
      GetRunner().resources->processes.ExitStatus(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (status)
    lua_pushinteger(lua, *status);
  else
    lua_pushnil(lua);
  return 1;
}

int LuaSleep(lua_State* lua)
{
  RunMainLoopFor(Milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

/// now() -> milliseconds, monotonic
int LuaNow(lua_State* lua)
{
  lua_pushinteger(lua, g_get_monotonic_time() / 1000);
  return 1;
}

Common::Task<void> Send(ScenarioResources& resources, int id, Http::Request request)
{
  const gint64 start_us = g_get_monotonic_time();
  const auto response = co_await resources.client.Send(std::move(request));
  Json result = Json::object();
  if (response)
    result = {
        {"status", response->status}, {"body", response->body}, {"headers", response->headers}};
  else
    result = {{"status", 0}, {"error", Common::ToString(response.Reason().kind)}, {"body", ""}};
  result["took_ms"] = (g_get_monotonic_time() - start_us) / 1000;
  resources.responses[id] = result;
}

/// request{method, url, body, headers, timeout_ms} -> id
int LuaRequest(lua_State* lua)
{
  ScenarioResources& resources = *GetRunner().resources;
  const Json options = ScenarioRunner::ToJson(lua, 1);
  Http::Request request;
  request.method = Common::GetOr(options, "method", std::string("GET"));
  request.url = Common::GetOr(options, "url", std::string());
  request.body = Common::GetOr(options, "body", std::string());
  request.timeout = Milliseconds(Common::GetOr(options, "timeout_ms", std::int64_t(20000)));
  if (options.contains("headers"))
    for (const auto& [name, value] : options["headers"].items())
      request.headers[name] = value.is_string() ? value.get<std::string>() : value.dump();
  const int id = resources.next_request_id++;
  Common::Spawn(Send(resources, id, std::move(request)));
  lua_pushinteger(lua, id);
  return 1;
}

/// answer(id) -> response, or nil while the request is in flight
int LuaAnswer(lua_State* lua)
{
  const auto& responses = GetRunner().resources->responses;
  const auto found = responses.find(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (found == responses.end())
    lua_pushnil(lua);
  else
    ScenarioRunner::PushJson(lua, found->second);
  return 1;
}

int LuaEncode(lua_State* lua)
{
  lua_pushstring(lua, Common::DumpJson(ScenarioRunner::ToJson(lua, 1)).c_str());
  return 1;
}

int LuaDecode(lua_State* lua)
{
  ScenarioRunner::PushJson(lua, Common::ParseJson(luaL_checkstring(lua, 1)).value_or(Json()));
  return 1;
}

/// relay(listen, target) -> id
int LuaRelay(lua_State* lua)
{
  ScenarioResources& resources = *GetRunner().resources;
  auto relay =
      std::make_unique<ScenarioRunner::Relay>(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2));
  const auto opened = relay->Open();
  if (!opened)
    return luaL_error(lua, "%s", opened.Reason().detail.c_str());
  resources.relays.push_back(std::move(relay));
  lua_pushinteger(lua, static_cast<lua_Integer>(resources.relays.size()));
  return 1;
}

/// cut(relay id, true | false)
int LuaCut(lua_State* lua)
{
  auto& relays = GetRunner().resources->relays;
  const auto index = static_cast<std::size_t>(luaL_checkinteger(lua, 1)) - 1;
  if (index >= relays.size())
    return luaL_error(lua, "no such relay");
  relays[index]->SetCut(lua_toboolean(lua, 2) != 0);
  return 0;
}

int Traceback(lua_State* lua)
{
  luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
  return 1;
}

/// scenario(name, function): runs the function with its own processes, relays and log directory.
int LuaScenario(lua_State* lua)
{
  RunnerState& runner = GetRunner();
  const std::string name = luaL_checkstring(lua, 1);
  luaL_checktype(lua, 2, LUA_TFUNCTION);
  if (!runner.name_filter.empty() && name.find(runner.name_filter) == std::string::npos)
    return 0;
  const std::string log_directory = runner.log_root + "/" + name;
  std::filesystem::remove_all(log_directory);
  std::filesystem::create_directories(log_directory);
  runner.resources = std::make_unique<ScenarioResources>(log_directory);
  const gint64 start_us = g_get_monotonic_time();
  lua_pushcfunction(lua, Traceback);
  lua_pushvalue(lua, 2);
  const bool passed = lua_pcall(lua, 0, 0, -2) == LUA_OK;
  const auto elapsed_ms = (g_get_monotonic_time() - start_us) / 1000;
  std::cout << (passed ? "pass " : "FAIL ") << name << " (" << elapsed_ms << " ms)\n";
  if (!passed)
    std::cout << "  " << lua_tostring(lua, -1) << "\n  logs: " << log_directory << "\n";
  std::cout.flush();
  ++(passed ? runner.passed : runner.failed);
  runner.resources->processes.KillAll();
  // Requests that are still in flight fail now that their peers are gone. Running the loop lets
  // them finish; until then they refer to the resources, which are kept until the program exits.
  RunMainLoopFor(Milliseconds(50));
  static std::vector<std::unique_ptr<ScenarioResources>> s_finished;
  s_finished.push_back(std::move(runner.resources));
  return 0;
}

void RegisterFunctions(lua_State* lua)
{
  const std::map<const char*, lua_CFunction> functions{
      {"scenario", LuaScenario}, {"start", LuaStart},   {"signal", LuaSignal},
      {"ended", LuaEnded},       {"sleep", LuaSleep},   {"now", LuaNow},
      {"request", LuaRequest},   {"answer", LuaAnswer}, {"encode", LuaEncode},
      {"decode", LuaDecode},     {"relay", LuaRelay},   {"cut", LuaCut}};
  for (const auto& [name, function] : functions)
    lua_register(lua, name, function);
  lua_pushstring(lua, GetRunner().network_prefix.c_str());
  lua_setglobal(lua, "NET");
}

int RunFiles(const std::vector<std::string>& files)
{
  for (const std::string& file : files)
  {
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    RegisterFunctions(lua);
    const std::string directory = std::filesystem::path(file).parent_path().string();
    const std::string path = "package.path = '" + directory + "/Library/?.lua'";
    luaL_dostring(lua, path.c_str());
    if (luaL_dofile(lua, file.c_str()) != LUA_OK)
    {
      std::cout << "FAIL " << file << ": " << lua_tostring(lua, -1) << "\n";
      ++GetRunner().failed;
    }
    lua_close(lua);
  }
  const RunnerState& runner = GetRunner();
  std::cout << runner.passed << " passed, " << runner.failed << " failed\n";
  std::cout.flush();
  return runner.failed == 0 ? 0 : 1;
}
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("scenario-runner", "Runs Lua scenarios against real processes.");
  options.add_options()("bin", "directory of the programs",
                        cxxopts::value<std::string>()->default_value("build/bin"))(
      "net", "first three bytes of the loopback addresses",
      cxxopts::value<std::string>()->default_value("127.33.1"))(
      "logs", "directory for logs",
      cxxopts::value<std::string>()->default_value("build/scenarios"))(
      "only", "run only scenarios whose name contains this text",
      cxxopts::value<std::string>()->default_value(""))("files", "scenario files",
                                                        cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"files"});
  g_setenv("DRUMPOND_PEER_KEY", "a-key-for-scenarios-only", FALSE);
  try
  {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    RunnerState& runner = GetRunner();
    runner.program_directory = parsed["bin"].as<std::string>();
    runner.network_prefix = parsed["net"].as<std::string>();
    runner.name_filter = parsed["only"].as<std::string>();
    runner.log_root = parsed["logs"].as<std::string>();
    const int status = RunFiles(parsed["files"].as<std::vector<std::string>>());
    std::_Exit(status);
  }
  catch (const cxxopts::exceptions::exception& error)
  {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
