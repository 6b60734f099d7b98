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
struct World
{
  explicit World(const std::string& logs) : processes(logs) {}

  ScenarioRunner::Processes processes;
  std::vector<std::unique_ptr<ScenarioRunner::Relay>> relays;
  Http::Client client;
  std::map<int, Json> answers;
  int next_request = 1;
};

struct Runner
{
  std::string bin;
  std::string net; ///< First three bytes of all loopback addresses.
  std::string only;
  std::string log_root;
  std::unique_ptr<World> world;
  int passed = 0;
  int failed = 0;
};

Runner& TheRunner()
{
  static Runner s_runner;
  return s_runner;
}

void RunLoopFor(Milliseconds time)
{
  bool over = false;
  Common::CallAfter(time, [&over] {
    over = true;
  });
  while (!over)
    g_main_context_iteration(nullptr, TRUE);
}

/// start(name, {program, arguments...}) -> process id
int LuaStart(lua_State* lua)
{
  Runner& runner = TheRunner();
  const std::string name = luaL_checkstring(lua, 1);
  std::vector<std::string> command;
  for (const Json& part : ScenarioRunner::ToJson(lua, 2))
    command.push_back(part.is_string() ? part.get<std::string>() : part.dump());
  command.front() = runner.bin + "/" + command.front();
  lua_pushinteger(lua, runner.world->processes.Start(name, command));
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
  TheRunner().world->processes.Signal(pid, found->second);
  return 0;
}

/// ended(process id) -> exit status or nil
int LuaEnded(lua_State* lua)
{
  const auto status =
      TheRunner().world->processes.Ended(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (status)
    lua_pushinteger(lua, *status);
  else
    lua_pushnil(lua);
  return 1;
}

int LuaSleep(lua_State* lua)
{
  RunLoopFor(Milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

/// now() -> milliseconds, monotonic
int LuaNow(lua_State* lua)
{
  lua_pushinteger(lua, g_get_monotonic_time() / 1000);
  return 1;
}

Common::Task<void> Send(World& world, int id, Http::Request request)
{
  const gint64 began = g_get_monotonic_time();
  const auto response = co_await world.client.Send(std::move(request));
  Json answer = Json::object();
  if (response)
    answer = {
        {"status", response->status}, {"body", response->body}, {"headers", response->headers}};
  else
    answer = {{"status", 0}, {"error", Common::ToString(response.Reason().kind)}, {"body", ""}};
  answer["took_ms"] = (g_get_monotonic_time() - began) / 1000;
  world.answers[id] = answer;
}

/// request{method, url, body, headers, timeout_ms} -> id
int LuaRequest(lua_State* lua)
{
  World& world = *TheRunner().world;
  const Json options = ScenarioRunner::ToJson(lua, 1);
  Http::Request request;
  request.method = Common::GetOr(options, "method", std::string("GET"));
  request.url = Common::GetOr(options, "url", std::string());
  request.body = Common::GetOr(options, "body", std::string());
  request.timeout = Milliseconds(Common::GetOr(options, "timeout_ms", std::int64_t(20000)));
  if (options.contains("headers"))
    for (const auto& [name, value] : options["headers"].items())
      request.headers[name] = value.is_string() ? value.get<std::string>() : value.dump();
  const int id = world.next_request++;
  Common::Spawn(Send(world, id, std::move(request)));
  lua_pushinteger(lua, id);
  return 1;
}

/// answer(id) -> response, or nil while the request is in flight
int LuaAnswer(lua_State* lua)
{
  const auto& answers = TheRunner().world->answers;
  const auto found = answers.find(static_cast<int>(luaL_checkinteger(lua, 1)));
  if (found == answers.end())
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
  World& world = *TheRunner().world;
  auto relay =
      std::make_unique<ScenarioRunner::Relay>(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2));
  const auto opened = relay->Open();
  if (!opened)
    return luaL_error(lua, "%s", opened.Reason().detail.c_str());
  world.relays.push_back(std::move(relay));
  lua_pushinteger(lua, static_cast<lua_Integer>(world.relays.size()));
  return 1;
}

/// cut(relay id, true | false)
int LuaCut(lua_State* lua)
{
  auto& relays = TheRunner().world->relays;
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
  Runner& runner = TheRunner();
  const std::string name = luaL_checkstring(lua, 1);
  luaL_checktype(lua, 2, LUA_TFUNCTION);
  if (!runner.only.empty() && name.find(runner.only) == std::string::npos)
    return 0;
  const std::string logs = runner.log_root + "/" + name;
  std::filesystem::remove_all(logs);
  std::filesystem::create_directories(logs);
  runner.world = std::make_unique<World>(logs);
  const gint64 began = g_get_monotonic_time();
  lua_pushcfunction(lua, Traceback);
  lua_pushvalue(lua, 2);
  const bool passed = lua_pcall(lua, 0, 0, -2) == LUA_OK;
  const auto took = (g_get_monotonic_time() - began) / 1000;
  std::cout << (passed ? "pass " : "FAIL ") << name << " (" << took << " ms)\n";
  if (!passed)
    std::cout << "  " << lua_tostring(lua, -1) << "\n  logs: " << logs << "\n";
  std::cout.flush();
  ++(passed ? runner.passed : runner.failed);
  runner.world->processes.EndAll();
  // Requests that are still in flight fail now that their peers are gone. Running the loop lets
  // them finish; until then they refer to the world, which is kept until the program exits.
  RunLoopFor(Milliseconds(50));
  static std::vector<std::unique_ptr<World>> s_finished;
  s_finished.push_back(std::move(runner.world));
  return 0;
}

void Register(lua_State* lua)
{
  const std::map<const char*, lua_CFunction> functions{
      {"scenario", LuaScenario}, {"start", LuaStart},   {"signal", LuaSignal},
      {"ended", LuaEnded},       {"sleep", LuaSleep},   {"now", LuaNow},
      {"request", LuaRequest},   {"answer", LuaAnswer}, {"encode", LuaEncode},
      {"decode", LuaDecode},     {"relay", LuaRelay},   {"cut", LuaCut}};
  for (const auto& [name, function] : functions)
    lua_register(lua, name, function);
  lua_pushstring(lua, TheRunner().net.c_str());
  lua_setglobal(lua, "NET");
}

int RunFiles(const std::vector<std::string>& files)
{
  for (const std::string& file : files)
  {
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    Register(lua);
    const std::string folder = std::filesystem::path(file).parent_path().string();
    const std::string path = "package.path = '" + folder + "/Library/?.lua'";
    luaL_dostring(lua, path.c_str());
    if (luaL_dofile(lua, file.c_str()) != LUA_OK)
    {
      std::cout << "FAIL " << file << ": " << lua_tostring(lua, -1) << "\n";
      ++TheRunner().failed;
    }
    lua_close(lua);
  }
  const Runner& runner = TheRunner();
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
    Runner& runner = TheRunner();
    runner.bin = parsed["bin"].as<std::string>();
    runner.net = parsed["net"].as<std::string>();
    runner.only = parsed["only"].as<std::string>();
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
