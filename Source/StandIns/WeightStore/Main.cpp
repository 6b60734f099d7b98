// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Stand-in for the weight store: starts a limited number of loads per second, runs a limited number
// of them at full speed, and divides that bandwidth among them if there are more. It also records
// which backend servers hold which artifact in memory; the scenarios read from it the highest
// number of copies over all data centres.

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <set>

#include "Common/Loop.h"
#include "StandIns/Support/StandInProgram.h"

namespace
{
using Common::GetOr;
using Common::Json;
using Common::Milliseconds;
using Common::Task;

constexpr Milliseconds TICK{5};

struct Transfer
{
  double left_ms; ///< At full speed.
  Common::Completion<bool> done;
};

class WeightStore
{
public:
  WeightStore(double starts_per_second, int full_speed_loads, double load_ms)
      : m_starts_per_second(starts_per_second),
        m_full_speed_loads(full_speed_loads),
        m_load_ms(load_ms)
  {
    ScheduleTick();
  }

  Task<void> Fetch(Http::ExchangePtr exchange)
  {
    ++m_fetches;
    Transfer transfer{m_load_ms, {}};
    m_waiting.push_back(transfer);
    co_await transfer.done.WaitUntil(Common::Now() + std::chrono::minutes(10));
    exchange->RespondJson(200, Json::object());
  }

  /// Body: vm, artifact, loaded (true or false); or vm, reset, when the backend server starts.
  Task<void> Ledger(Http::ExchangePtr exchange)
  {
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    const std::string vm = GetOr(body, "vm", std::string());
    const std::string artifact = GetOr(body, "artifact", std::string());
    if (GetOr(body, "reset", false))
      std::for_each(m_holders.begin(), m_holders.end(), [&](auto& item) {
        item.second.erase(vm);
      });
    else if (GetOr(body, "loaded", false))
      m_holders[artifact].insert(vm);
    else
      m_holders[artifact].erase(vm);
    if (!artifact.empty())
      m_peaks[artifact] = std::max(m_peaks[artifact], m_holders[artifact].size());
    exchange->RespondJson(200, Json::object());
    co_return;
  }

  Task<void> Control(Http::ExchangePtr exchange)
  {
    if (exchange->Method() == "GET")
    {
      exchange->RespondJson(200,
                            {{"peaks", m_peaks}, {"holders", m_holders}, {"fetches", m_fetches}});
      co_return;
    }
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    m_speed = GetOr(body, "speed", m_speed);
    if (GetOr(body, "reset_peaks", false))
      m_peaks.clear();
    exchange->RespondJson(200, Json::object());
  }

private:
  /// Calls Advance() every TICK.
  void ScheduleTick()
  {
    Common::CallAfter(TICK, [this] {
      Advance();
      ScheduleTick();
    });
  }

  /// Advances the running transfers and starts waiting ones as the token bucket allows.
  void Advance()
  {
    const auto now = Common::Now();
    const double elapsed_ms = std::chrono::duration<double, std::milli>(now - m_last_tick).count();
    m_last_tick = now;
    const double slowdown =
        std::max(1.0, static_cast<double>(m_running.size()) / m_full_speed_loads);
    for (Transfer& transfer : m_running)
    {
      transfer.left_ms -= elapsed_ms * m_speed / slowdown;
      if (transfer.left_ms <= 0)
        transfer.done.Set(true);
    }
    m_running.remove_if([](const Transfer& transfer) {
      return transfer.left_ms <= 0;
    });
    m_start_tokens =
        std::min(1.0, m_start_tokens + elapsed_ms / 1000 * m_starts_per_second * m_speed);
    while (!m_waiting.empty() && m_start_tokens >= 1.0)
    {
      m_start_tokens -= 1.0;
      m_running.push_back(m_waiting.front());
      m_waiting.pop_front();
    }
  }

  double m_starts_per_second;
  int m_full_speed_loads;
  double m_load_ms;
  double m_speed = 1.0;        ///< Factor on the bandwidth and the start rate.
  double m_start_tokens = 1.0; ///< Token bucket for starts; holds one at most.
  Common::TimePoint m_last_tick = Common::Now();
  std::deque<Transfer> m_waiting;
  std::list<Transfer> m_running;
  std::int64_t m_fetches = 0;
  std::map<std::string, std::set<std::string>> m_holders; ///< Backend servers by artifact.
  std::map<std::string, std::size_t> m_peaks; ///< Highest number of holders by artifact.
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("standin-weight-store", "Stand-in for the weight store");
  StandIns::AddListenOptions(options);
  options.add_options()("starts-per-second", "loads started per second",
                        cxxopts::value<double>()->default_value("3"))(
      "full-speed", "concurrent loads that run at full speed",
      cxxopts::value<int>()->default_value("4"))("load-ms", "duration of a load at full speed",
                                                 cxxopts::value<double>()->default_value("600"));
  const cxxopts::ParseResult parsed = StandIns::ParseOrExit(options, argc, argv);
  Common::InitLog(argv[0]);
  WeightStore store(parsed["starts-per-second"].as<double>(), parsed["full-speed"].as<int>(),
                    parsed["load-ms"].as<double>());
  Http::Server server({});
  server.Handle("/fetch", [&store](Http::ExchangePtr exchange) {
    return store.Fetch(exchange);
  });
  server.Handle("/ledger", [&store](Http::ExchangePtr exchange) {
    return store.Ledger(exchange);
  });
  server.Handle("/control", [&store](Http::ExchangePtr exchange) {
    return store.Control(exchange);
  });
  return StandIns::ListenAndRun(server, parsed);
}
