// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/StandInServer.h"

#include <algorithm>

#include "Common/Random.h"
#include "StandIns/Soak/MalformedResponses.h"

namespace Soak
{
namespace
{
using Common::Json;
using Common::Milliseconds;

/// Models that fit into a server's memory. Must match the sizes in MB in the configuration of the
/// soak test.
constexpr std::size_t MAX_LOADED_MODELS = 2;
constexpr Milliseconds LOAD_TIME{200};
constexpr Milliseconds UNLOAD_TIME{20};
constexpr Milliseconds PLAIN_REQUEST_TIME{15};
/// With ServerFault::ResetConnections, one in so many stream events resets the connection.
constexpr std::uint64_t RESET_ONE_IN = 40;
/// With ServerFault::DelayOrders, orders are delayed by 1 s and a random time below this.
constexpr std::uint64_t ORDER_DELAY_RANGE_MS = 4000;
/// Time from the start of a crashing request to the crash.
constexpr Milliseconds CRASH_AFTER{5};
constexpr Milliseconds DOWN_TIME{1500};
/// Of a server with surplus responses: what happens to its requests.
constexpr std::uint64_t REJECTED_PERCENT = 40;
constexpr std::uint64_t TOO_MANY_OF_REJECTED_PERCENT = 10;
constexpr std::uint64_t FAILED_PERCENT = 8;
constexpr std::uint64_t FAILED_RESUMABLE_PERCENT = 30;
constexpr std::uint64_t PARTIAL_PERCENT = 3;
constexpr std::uint64_t MALFORMED_PERCENT = 15;
constexpr std::uint64_t BROKEN_STREAM_PERCENT = 40;
constexpr std::uint64_t CRASH_OF_BROKEN_PERCENT = 3;

/// The id that the response to an attempt repeats.
std::string IdOf(const std::string& attempt)
{
  return attempt.substr(0, attempt.find('#'));
}

std::string HeaderValue(const Http::MessageHead& head, const char* name)
{
  const std::string* value = head.Find(name);
  return value == nullptr ? "" : *value;
}

/// The caller's attempt that the request is from, by its name.
std::string AttemptOf(const Http::MessageHead& head)
{
  return StandInServer::AttemptName(
      HeaderValue(head, "Attempt-Id"),
      std::atoi(HeaderValue(head, StandInServer::ATTEMPT_HEADER).c_str()));
}
} // namespace

StandInServer::StandInServer(std::string name, Http::Endpoint endpoint, StandInStore& store,
                             InvariantChecker& checker, std::vector<std::string> models)
    : m_name(std::move(name)),
      m_endpoint(endpoint),
      m_store(store),
      m_checker(checker),
      m_models_on_disk(std::move(models))
{
}

Common::Result<Common::Done> StandInServer::OpenListener()
{
  m_listener.emplace();
  auto listening = m_listener->Listen(m_endpoint, [this](int fd, const Http::Endpoint& peer) {
    const auto connection = Http::ServerConnection::Adopt(fd, *this);
    m_connections.emplace(connection.get(), connection);
    m_responses.Add(*connection, fd);
    connection->OnFinished([this](Http::ServerConnection* finished) {
      m_responses.Remove(*finished);
      m_connections.erase(finished);
      m_cut.Remove(finished);
    });
    m_cut.Add(connection, fd, peer);
  });
  if (listening)
    m_cut.ApplyTo(m_listener->Descriptor());
  return listening;
}

void StandInServer::SetCut(const StandIns::NetworkCut& cut)
{
  m_cut.Begin(cut);
  if (m_listener)
    m_cut.ApplyTo(m_listener->Descriptor());
}

void StandInServer::EndCut()
{
  m_cut.End();
  if (m_listener)
    m_cut.ApplyTo(m_listener->Descriptor());
}

Common::Result<Common::Done> StandInServer::Listen()
{
  auto listening = OpenListener();
  Restart();
  return listening;
}

void StandInServer::Crash(Milliseconds down_time)
{
  m_listener.reset();
  ResetInstance();
  // Not bound to the instance: the server comes back whatever else happens to it meanwhile.
  Common::Reactor::Get().After(down_time, [this] {
    if (!OpenListener())
      m_checker.ReportViolation("stand-in server cannot listen after a crash: " + m_name);
    Restart();
  });
}

void StandInServer::Restart()
{
  if (IsDown())
    return;
  if (!m_instance.empty())
    m_store.Remove("servers", m_instance);
  ResetInstance();
  m_instance = m_name + "-" + std::to_string(m_instance_number);
  WriteEntry();
}

void StandInServer::RestartWithSameId(Milliseconds entry_delay)
{
  if (IsDown())
    return;
  ResetInstance();
  After(entry_delay, [this] {
    WriteEntry();
  });
}

void StandInServer::ResetInstance()
{
  ++m_instance_number;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  m_start_ms = std::max(m_start_ms + 1, std::chrono::floor<Milliseconds>(now).count());
  m_models.clear();
  m_sequence = 0;
  m_busy = false;
  m_draining = false;
  m_announces_drain = false;
  SetRateLimit(std::nullopt);
  const auto connections = m_connections;
  for (const auto& [key, connection] : connections)
    connection->AbortResponse();
}

std::string StandInServer::LifeName() const
{
  return m_instance + "@" + std::to_string(m_start_ms);
}

void StandInServer::RunSoftware(std::string version, std::string data_centre)
{
  m_version = std::move(version);
  m_data_centre = std::move(data_centre);
}

void StandInServer::Retire()
{
  if (IsDown())
    return;
  m_listener.reset();
  m_store.Remove("servers", m_instance);
  ResetInstance();
}

void StandInServer::RenewEntry()
{
  if (!IsDown())
    WriteEntry();
}

void StandInServer::Drain()
{
  m_draining = true;
  WriteEntry();
}

void StandInServer::AnnounceDrain()
{
  m_announces_drain = true;
}

void StandInServer::After(Milliseconds delay, std::function<void()> callback)
{
  Common::Reactor::Get().After(
      delay, [this, instance_number = m_instance_number, callback = std::move(callback)] {
        if (instance_number == m_instance_number)
          callback();
      });
}

void StandInServer::SetRateLimit(std::optional<double> per_second)
{
  m_rate_limit = per_second;
  m_checker.RecordRateLimit(m_name, per_second, Common::Now());
}

std::vector<Http::HeaderField>
StandInServer::ResponseHeaders(std::vector<Http::HeaderField> headers) const
{
  if (m_rate_limit)
    headers.push_back({"Server-Limit", Common::DumpJson(*m_rate_limit)});
  if (m_announces_drain)
    headers.push_back({"Server-Leaving", "1"});
  return headers;
}

void StandInServer::WriteEntry()
{
  Json models = Json::array();
  for (const std::string& model : m_models)
    models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
  Json entry = {{"service", "pool"},
                {"address", m_endpoint.ToString()},
                {"zone", m_data_centre},
                {"slots", 16},
                {"state", m_draining ? "draining" : "ready"},
                {"models", models},
                {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_models_on_disk}}},
                {"seq", ++m_heartbeat},
                {"born", m_start_ms}};
  if (!m_version.empty())
    entry["version"] = m_version;
  m_store.Put("servers", m_instance, entry);
}

void StandInServer::Reject(const Connection& connection, int status, const std::string& id)
{
  auto headers =
      ResponseHeaders({{"Attempt-Id", IdOf(id)}, {"Not-Run", "1"}, {"Instance", m_instance}});
  if (status == 503 && m_retry_after)
  {
    headers.push_back({"Retry-After", Common::DumpJson(*m_retry_after)});
    m_checker.RecordRetryAfter(LifeName(), id, *m_retry_after, Common::Now());
  }
  m_responses.Respond(*connection, status, headers, "");
}

std::string StandInServer::AttemptName(const std::string& id, int number)
{
  return number > 1 ? id + "#" + std::to_string(number) : id;
}

void StandInServer::SetSurplusResponses(bool active)
{
  m_responses.SetActive(active);
  m_misbehaves = active;
}

bool StandInServer::RejectByChance(const Connection& connection, const std::string& id)
{
  if (!m_misbehaves || !IsDrawn(REJECTED_PERCENT))
    return false;
  Reject(connection, IsDrawn(TOO_MANY_OF_REJECTED_PERCENT) ? 429 : 503, id);
  return true;
}

bool StandInServer::FailByChance(const Connection& connection, const std::string& id,
                                 bool is_resumable)
{
  if (!m_misbehaves)
    return false;
  const auto headers = ResponseHeaders({{"Attempt-Id", IdOf(id)}, {"Server-Stamp", "s"}});
  if (IsDrawn(PARTIAL_PERCENT))
  {
    m_responses.SendPart(*connection, 200, headers, "answer to " + id);
    // Otherwise it sends nothing more.
    if (IsDrawn(50))
      connection->AbortResponse();
    return true;
  }
  if (!IsDrawn(is_resumable ? FAILED_RESUMABLE_PERCENT : FAILED_PERCENT))
    return false;
  RecordAnnouncement(id);
  m_responses.Respond(*connection, 500, headers, "failure of " + id);
  return true;
}

bool StandInServer::RespondMalformedByChance(const Connection& connection, const std::string& id)
{
  if (!m_sends_malformed || !IsDrawn(MALFORMED_PERCENT))
    return false;
  m_responses.SendRaw(*connection, DrawMalformedResponse(IdOf(id)));
  // Otherwise it sends nothing more.
  if (IsDrawn(50))
    connection->AbortResponse();
  return true;
}

StandInServer::Break StandInServer::DrawBreak(const Http::ReceivedRequest& request) const
{
  if (request.body.starts_with(BREAKING_BODY_PREFIX))
    return {std::atoi(request.body.c_str() + BREAKING_BODY_PREFIX.size())};
  if (!m_misbehaves || !IsDrawn(BROKEN_STREAM_PERCENT))
    return {};
  return {static_cast<int>(1 + Common::SharedRandom()() % EVENTS_PER_STREAM),
          IsDrawn(CRASH_OF_BROKEN_PERCENT)};
}

std::string StandInServer::CauseOfCrash(const Http::ReceivedRequest& request)
{
  if (request.body.starts_with(CRASHING_BODY_PREFIX))
    return request.body;
  const std::string parts = HeaderValue(request.head, "Prompt-Prefix");
  const auto found = parts.find(CRASHING_PART);
  const bool is_before_the_last = found != std::string::npos && found < parts.rfind(',');
  return is_before_the_last ? std::string(InvariantChecker::CRASHING_PART) : "";
}

void StandInServer::OnRequest(const Connection& connection, Http::ReceivedRequest request)
{
  const std::string id = AttemptOf(request.head);
  const std::string expected_instance = HeaderValue(request.head, "Expect-Instance");
  const bool is_request = request.head.target != "/order" && request.head.target != "/report";
  if (is_request)
  {
    m_responses.SendCopies(*connection);
    m_checker.RecordArrival(m_name, id, Common::Now());
    m_checker.RecordArrivalAtInstance(LifeName(), id, Common::Now());
  }
  if (const std::string cause = CauseOfCrash(request); !cause.empty())
    m_checker.RecordCrashingRequestArrival(cause, Common::Now());
  if (m_fault == ServerFault::Unresponsive)
    return;
  if (!expected_instance.empty() && expected_instance != m_instance)
    Reject(connection, 421, id);
  else if (request.head.target == "/order")
    HandleOrder(connection, request);
  else if (request.head.target == "/report")
  {
    Json models = Json::array();
    for (const std::string& model : m_models)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    connection->Respond(
        200, "OK", {},
        Common::DumpJson(
            {{"seq", m_sequence}, {"busy", m_busy}, {"models", models}, {"born", m_start_ms}}));
  }
  else if (m_fault == ServerFault::RejectRequests)
    Reject(connection, 503, id);
  else
    ServeRequest(connection, request);
}

void StandInServer::RecordAnnouncement(const std::string& id)
{
  if (m_announces_drain)
    m_checker.RecordDrainAnnouncement(LifeName(), id, Common::Now());
}

void StandInServer::ServeRequest(const Connection& connection, const Http::ReceivedRequest& request)
{
  const std::string id = AttemptOf(request.head);
  const std::string model = HeaderValue(request.head, "Model");
  if (!model.empty() && !m_models.contains(model))
  {
    Reject(connection, 421, id);
    return;
  }
  if (RejectByChance(connection, id))
    return;
  m_checker.RecordRun(id);
  if (const std::string cause = CauseOfCrash(request); !cause.empty())
  {
    After(CRASH_AFTER, [this, cause] {
      m_checker.RecordCrash(cause, Common::Now());
      Crash(DOWN_TIME);
    });
    return;
  }
  const bool is_resumable = request.head.target.starts_with("/stream/");
  if (RespondMalformedByChance(connection, id) || FailByChance(connection, id, is_resumable))
    return;
  if (!model.empty() || is_resumable)
  {
    const std::string last_event_id = HeaderValue(request.head, "Last-Event-Id");
    RecordAnnouncement(id);
    m_responses.BeginBody(*connection,
                          ResponseHeaders({{"Attempt-Id", IdOf(id)},
                                           {"Server-Stamp", "s"},
                                           {"Content-Type", "text/event-stream"}}),
                          Framing());
    Stream(connection, id, last_event_id.empty() ? 1 : std::atoi(last_event_id.c_str()) + 1,
           DrawBreak(request));
    return;
  }
  After(PLAIN_REQUEST_TIME, [this, connection, id] {
    if (m_fault == ServerFault::ResetConnections && Common::SharedRandom()() % 3 == 0)
      connection->AbortResponse();
    else
    {
      RecordAnnouncement(id);
      const auto headers = ResponseHeaders({{"Attempt-Id", IdOf(id)}, {"Server-Stamp", "s"}});
      if (m_fault != ServerFault::UnframedResponses)
      {
        m_responses.Respond(*connection, 200, headers, "answer to " + id);
        return;
      }
      m_responses.BeginBody(*connection, headers, Framing());
      m_responses.SendBody(*connection, "answer to " + id);
      m_responses.EndBody(*connection);
    }
  });
}

Http::BodyFraming StandInServer::Framing() const
{
  return m_fault == ServerFault::UnframedResponses ? Http::BodyFraming::UntilClose
                                                   : Http::BodyFraming::Chunked;
}

void StandInServer::Stream(const Connection& connection, const std::string& id, int event, Break at)
{
  if (!connection->IsOpen() || m_fault == ServerFault::Unresponsive)
    return;
  if (event > EVENTS_PER_STREAM)
  {
    m_responses.EndBody(*connection);
    return;
  }
  const std::string text = "id: " + std::to_string(event) + "\ndata: " + id +
                           (m_version.empty() ? "" : " " + m_version) + "\n\n";
  if (m_fault == ServerFault::ResetConnections && Common::SharedRandom()() % RESET_ONE_IN == 0)
  {
    m_responses.SendBody(*connection, text.substr(0, text.size() / 2));
    connection->AbortResponse();
    return;
  }
  if (m_fault == ServerFault::UnframedResponses && Common::SharedRandom()() % RESET_ONE_IN == 0)
  {
    // On a connection whose body has no stated end, this is an orderly close inside an event.
    m_responses.SendBody(*connection, text.substr(0, text.size() / 2));
    m_responses.EndBody(*connection);
    return;
  }
  m_responses.SendBody(*connection, text);
  if (event == at.after)
  {
    if (at.crashes)
      After(CRASH_AFTER, [this] {
        Crash(DOWN_TIME);
      });
    else
    {
      if (m_misbehaves && IsDrawn(50))
        m_responses.ResetAtEnd(*connection);
      connection->AbortResponse();
    }
    return;
  }
  After(m_event_interval, [this, connection, id, event, at] {
    Stream(connection, id, event + 1, at);
  });
}

void StandInServer::HandleOrder(const Connection& connection, const Http::ReceivedRequest& request)
{
  const auto order = Common::ParseJson(request.body);
  m_checker.RecordOrder(m_instance, Common::GetOr<std::string>(*order, "holder", ""),
                        Common::GetOr<std::int64_t>(*order, "fence", 0), Common::Now());
  if (m_fault == ServerFault::DelayOrders)
  {
    const auto delay = Milliseconds(1000 + Common::SharedRandom()() % ORDER_DELAY_RANGE_MS);
    Common::Reactor::Get().After(delay, [this, late = *order, instance = m_instance] {
      if (instance == m_instance)
        ExecuteOrder(late);
    });
    return;
  }
  const int status = ExecuteOrder(*order);
  connection->Respond(status, Http::ReasonPhrase(status), {}, "");
}

int StandInServer::ExecuteOrder(const Json& order)
{
  const auto model = Common::GetOr<std::string>(order, "model", "");
  const bool load = Common::GetOr<std::string>(order, "operation", "") == "load";
  if (m_busy || Common::GetOr<std::int64_t>(order, "expectedRev", -1) != m_sequence)
    return 409;
  if (m_models.contains(model) == load)
    return 200;
  if (load && m_models.size() >= MAX_LOADED_MODELS)
    m_checker.ReportViolation("load ordered on a server without free memory: " + m_instance);
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
