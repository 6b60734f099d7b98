// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/StandInServer.h"

#include <algorithm>

#include "Common/Random.h"

namespace Soak
{
namespace
{
using Common::Json;
using Common::Milliseconds;

/// Models that fit a server at once; the configuration of the soak gives the same in MB.
constexpr std::size_t PLACES = 2;
constexpr Milliseconds LOAD_TIME{200};
constexpr Milliseconds UNLOAD_TIME{20};
constexpr Milliseconds PLAIN_WORK{15};
constexpr Milliseconds EVENT_TIME{8};
constexpr int EVENTS = 25;
constexpr std::uint64_t BREAKS_ONE_IN = 40; ///< Events at which a server that resets breaks off.
constexpr std::uint64_t LATEST_ORDER_MS = 4000;
/// From the begin of its run to the end of the server.
constexpr Milliseconds CRASH_AFTER{5};
constexpr Milliseconds DOWN_TIME{1500};

std::string HeaderValue(const Http::MessageHead& head, const char* name)
{
  const std::string* value = head.Find(name);
  return value == nullptr ? "" : *value;
}
} // namespace

StandInServer::StandInServer(std::string name, Http::Endpoint endpoint, StandInStore& store,
                             Ledger& ledger, std::vector<std::string> models)
    : m_name(std::move(name)),
      m_endpoint(endpoint),
      m_store(store),
      m_ledger(ledger),
      m_disk(std::move(models))
{
}

Common::Result<Common::Done> StandInServer::Open()
{
  m_listener.emplace();
  return m_listener->Listen(m_endpoint, [this](int fd, const Http::Endpoint&) {
    const auto connection = Http::ServerConnection::Adopt(fd, *this);
    m_connections.emplace(connection.get(), connection);
    connection->OnFinished([this](Http::ServerConnection* finished) {
      m_connections.erase(finished);
    });
  });
}

Common::Result<Common::Done> StandInServer::Listen()
{
  auto listening = Open();
  Restart();
  return listening;
}

void StandInServer::Crash(Milliseconds until_gone)
{
  m_listener.reset();
  BeginLife();
  After(until_gone, [this] {
    if (!Open())
      m_ledger.Break("the stand-in server cannot listen again: " + m_name);
    Restart();
  });
}

void StandInServer::Restart()
{
  if (!m_instance.empty())
    m_store.Remove("servers", m_instance);
  BeginLife();
  m_instance = m_name + "-" + std::to_string(m_life);
  WriteEntry();
}

void StandInServer::RestartUnderItsId(Milliseconds until_entry)
{
  BeginLife();
  After(until_entry, [this] {
    WriteEntry();
  });
}

void StandInServer::BeginLife()
{
  ++m_life;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  m_born = std::max(m_born + 1, std::chrono::floor<Milliseconds>(now).count());
  m_models.clear();
  m_sequence = 0;
  m_busy = false;
  m_draining = false;
  m_announces_end = false;
  SetLimit(std::nullopt);
  const auto connections = m_connections;
  for (const auto& [key, connection] : connections)
    connection->AbortResponse();
}

void StandInServer::Drain()
{
  m_draining = true;
  WriteEntry();
}

void StandInServer::AnnounceEnd()
{
  m_announces_end = true;
}

void StandInServer::After(Milliseconds delay, std::function<void()> callback)
{
  Common::Reactor::Get().After(delay, [this, life = m_life, callback = std::move(callback)] {
    if (life == m_life)
      callback();
  });
}

void StandInServer::SetLimit(std::optional<double> per_second)
{
  m_limit = per_second;
  m_ledger.NoteLimit(m_name, per_second, Common::Now());
}

std::vector<Http::HeaderField>
StandInServer::AnswerHeaders(std::vector<Http::HeaderField> headers) const
{
  if (m_limit)
    headers.push_back({"Server-Limit", Common::DumpJson(*m_limit)});
  if (m_announces_end)
    headers.push_back({"Server-Leaving", "1"});
  return headers;
}

void StandInServer::WriteEntry()
{
  Json models = Json::array();
  for (const std::string& model : m_models)
    models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
  m_store.Put("servers", m_instance,
              {{"service", "pool"},
               {"address", m_endpoint.ToString()},
               {"zone", "z1"},
               {"slots", 16},
               {"state", m_draining ? "draining" : "ready"},
               {"models", models},
               {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_disk}}},
               {"seq", 1},
               {"born", m_born}});
}

void StandInServer::Reject(const Connection& connection, int status, const std::string& id)
{
  auto headers = AnswerHeaders({{"Attempt-Id", id}, {"Not-Run", "1"}, {"Instance", m_instance}});
  if (status == 503 && m_retry_after)
  {
    headers.push_back({"Retry-After", Common::DumpJson(*m_retry_after)});
    m_ledger.NoteRetryAfter(m_instance, id, *m_retry_after, Common::Now());
  }
  connection->Respond(status, Http::ReasonPhrase(status), headers, "");
}

void StandInServer::OnRequest(const Connection& connection, Http::ReceivedRequest request)
{
  const std::string id = HeaderValue(request.head, "Attempt-Id");
  const std::string wanted = HeaderValue(request.head, "Expect-Instance");
  const bool is_request = request.head.target != "/order" && request.head.target != "/report";
  if (is_request)
  {
    m_ledger.NoteArrival(m_name, id, Common::Now());
    m_ledger.NoteArrivalInLife(m_instance, id, Common::Now());
  }
  const bool is_crasher = request.body.starts_with(CRASHER_PREFIX);
  if (is_crasher)
    m_ledger.NoteCrasherArrival(request.body, Common::Now());
  if (m_mood == ServerMood::Silent)
    return;
  if (!wanted.empty() && wanted != m_instance)
    Reject(connection, 421, id);
  else if (request.head.target == "/order")
    TakeOrder(connection, request);
  else if (request.head.target == "/report")
  {
    Json models = Json::array();
    for (const std::string& model : m_models)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    connection->Respond(
        200, "OK", {},
        Common::DumpJson(
            {{"seq", m_sequence}, {"busy", m_busy}, {"models", models}, {"born", m_born}}));
  }
  else if (m_mood == ServerMood::Sheds)
    Reject(connection, 503, id);
  else
    Serve(connection, request);
}

void StandInServer::NoteAnnouncement(const std::string& id)
{
  if (m_announces_end)
    m_ledger.NoteAnnouncedEnd(m_instance, id, Common::Now());
}

void StandInServer::Serve(const Connection& connection, const Http::ReceivedRequest& request)
{
  const std::string id = HeaderValue(request.head, "Attempt-Id");
  const std::string model = HeaderValue(request.head, "Model");
  if (!model.empty() && !m_models.contains(model))
  {
    Reject(connection, 421, id);
    return;
  }
  m_ledger.NoteRun(id);
  if (request.body.starts_with(CRASHER_PREFIX))
  {
    After(CRASH_AFTER, [this, crasher = request.body] {
      m_ledger.NoteCrash(crasher, Common::Now());
      Crash(DOWN_TIME);
    });
    return;
  }
  if (!model.empty())
  {
    const std::string last = HeaderValue(request.head, "Last-Event-Id");
    NoteAnnouncement(id);
    connection->BeginChunked(
        200, "OK",
        AnswerHeaders(
            {{"Attempt-Id", id}, {"Server-Stamp", "s"}, {"Content-Type", "text/event-stream"}}));
    Stream(connection, id, last.empty() ? 1 : std::atoi(last.c_str()) + 1);
    return;
  }
  After(PLAIN_WORK, [this, connection, id] {
    if (m_mood == ServerMood::Resets && Common::SharedRandom()() % 3 == 0)
      connection->AbortResponse();
    else
    {
      NoteAnnouncement(id);
      connection->Respond(200, "OK", AnswerHeaders({{"Attempt-Id", id}, {"Server-Stamp", "s"}}),
                          "answer to " + id);
    }
  });
}

void StandInServer::Stream(const Connection& connection, const std::string& id, int event)
{
  if (!connection->IsOpen() || m_mood == ServerMood::Silent)
    return;
  if (event > EVENTS)
  {
    connection->EndChunked();
    return;
  }
  const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
  if (m_mood == ServerMood::Resets && Common::SharedRandom()() % BREAKS_ONE_IN == 0)
  {
    connection->SendChunk(text.substr(0, text.size() / 2));
    connection->AbortResponse();
    return;
  }
  connection->SendChunk(text);
  After(EVENT_TIME, [this, connection, id, event] {
    Stream(connection, id, event + 1);
  });
}

void StandInServer::TakeOrder(const Connection& connection, const Http::ReceivedRequest& request)
{
  const auto order = Common::ParseJson(request.body);
  m_ledger.NoteOrder(m_instance, Common::GetOr<std::string>(*order, "holder", ""),
                     Common::GetOr<std::int64_t>(*order, "fence", 0), Common::Now());
  if (m_mood == ServerMood::LateOrders)
  {
    const auto delay = Milliseconds(1000 + Common::SharedRandom()() % LATEST_ORDER_MS);
    Common::Reactor::Get().After(delay, [this, late = *order, instance = m_instance] {
      if (instance == m_instance)
        Carry(late);
    });
    return;
  }
  const int status = Carry(*order);
  connection->Respond(status, Http::ReasonPhrase(status), {}, "");
}

int StandInServer::Carry(const Json& order)
{
  const auto model = Common::GetOr<std::string>(order, "model", "");
  const bool load = Common::GetOr<std::string>(order, "operation", "") == "load";
  if (m_busy || Common::GetOr<std::int64_t>(order, "expectedRev", -1) != m_sequence)
    return 409;
  if (m_models.contains(model) == load)
    return 200;
  if (load && m_models.size() >= PLACES)
    m_ledger.Break("ordered beyond its room: " + m_instance);
  ++m_sequence;
  m_busy = true;
  After(load ? LOAD_TIME : UNLOAD_TIME, [this, model, load] {
    m_busy = false;
    if (load)
      m_models.insert(model);
    else
      m_models.erase(model);
    WriteEntry();
  });
  return 202;
}
} // namespace Soak
