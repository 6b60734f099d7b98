// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Stand-in for a plain service: it runs each call at once and counts the runs by idempotency key
// and by request id. On request it delays responses, breaks connections after the run, responds
// under a wrong request id, or rejects calls before they run.

#include <map>

#include "Common/Loop.h"
#include "StandIns/Support/StandInProgram.h"

namespace
{
using Common::GetOr;
using Common::Json;
using Common::Task;

class PlainService
{
public:
  Task<void> Call(Http::ExchangePtr exchange)
  {
    if (m_rejects)
    {
      exchange->RespondJson(503, {{"error", "refused before running"}}, {{"x-ran", "not_run"}});
      co_return;
    }
    const std::string request = exchange->Header("x-request-id");
    const std::string key = exchange->Header("idempotency-key");
    const int number = ++m_calls;
    ++m_runs_by_request[request];
    if (!key.empty())
      ++m_runs_by_key[key];
    if (m_response_delay_ms > 0)
      co_await Common::Sleep{Common::Milliseconds(m_response_delay_ms)};
    if (m_lost_responses_left > 0)
    {
      --m_lost_responses_left;
      exchange->Abort();
      co_return;
    }
    const std::string response_id = m_sends_wrong_id ? "someone-else" : request;
    exchange->RespondJson(200,
                          {{"number", number},
                           {"path", exchange->Path()},
                           {"tracking", "T" + std::to_string(number)},
                           {"request", response_id}},
                          {{"x-request-id", response_id}});
  }

  Task<void> Control(Http::ExchangePtr exchange)
  {
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    m_response_delay_ms = GetOr(body, "late_ms", m_response_delay_ms);
    m_lost_responses_left = GetOr(body, "cut", m_lost_responses_left);
    m_rejects = GetOr(body, "refuse", m_rejects);
    m_sends_wrong_id = GetOr(body, "cross", m_sends_wrong_id);
    exchange->RespondJson(200, {{"calls", m_calls},
                                {"runs_by_request", m_runs_by_request},
                                {"runs_by_key", m_runs_by_key}});
    co_return;
  }

private:
  int m_calls = 0;
  int m_response_delay_ms = 0;
  int m_lost_responses_left = 0; ///< So many of the next calls run, but get no response.
  bool m_rejects = false;
  bool m_sends_wrong_id = false; ///< Responds under a wrong request id.
  std::map<std::string, int> m_runs_by_request;
  std::map<std::string, int> m_runs_by_key;
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("standin-plain-service", "Stand-in for a plain service");
  StandIns::AddListenOptions(options);
  const cxxopts::ParseResult parsed = StandIns::ParseOrExit(options, argc, argv);
  Common::InitLog(argv[0]);
  PlainService service;
  Http::Server server({});
  server.Handle("/", [&service](Http::ExchangePtr exchange) {
    return service.Call(exchange);
  });
  server.Handle("/control", [&service](Http::ExchangePtr exchange) {
    return service.Control(exchange);
  });
  return StandIns::ListenAndRun(server, parsed);
}
