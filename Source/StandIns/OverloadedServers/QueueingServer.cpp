// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/OverloadedServers/QueueingServer.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

#include "Common/Json.h"
#include "Common/Loop.h"

namespace OverloadedServers
{
namespace
{
using Common::Milliseconds;

/// From the first response in which the server states that it is brittle to the shorter queue.
constexpr Milliseconds NOTICE{3000};
constexpr Milliseconds DOWN_TIME{3000};
constexpr Milliseconds REJECTION_WINDOW{1000};

std::string HeaderValue(const Http::MessageHead& head, const char* name)
{
  const std::string* value = head.Find(name);
  return value == nullptr ? "" : *value;
}
} // namespace

double Capacity::PerSecond() const
{
  return slots / std::chrono::duration<double>(work).count();
}

QueueingServer::QueueingServer(std::string name, Http::Endpoint endpoint, Soak::StandInStore& store,
                               Capacity capacity, BrittleCounts& counts)
    : m_name(std::move(name)),
      m_endpoint(endpoint),
      m_store(store),
      m_capacity(capacity),
      m_counts(counts)
{
}

Common::Result<Common::Done> QueueingServer::Start()
{
  return Launch();
}

Common::Result<Common::Done> QueueingServer::Launch()
{
  m_listener.emplace();
  auto listening = m_listener->Listen(m_endpoint, [this](int fd, const Http::Endpoint& peer) {
    Accept(fd, peer);
  });
  if (!listening)
  {
    m_listener.reset();
    return listening;
  }
  m_cut.ApplyTo(m_listener->Descriptor());
  m_instance = m_name + "-" + std::to_string(++m_instance_number);
  WriteEntry();
  return listening;
}

void QueueingServer::WriteEntry()
{
  m_store.Put("servers", m_instance,
              {{"service", "pool"},
               {"address", m_endpoint.ToString()},
               {"zone", "z1"},
               {"slots", m_capacity.slots},
               {"state", "ready"},
               {"models", Common::Json::array()},
               {"seq", 1},
               {"born", m_instance_number}});
}

void QueueingServer::Accept(int fd, const Http::Endpoint& peer)
{
  const auto connection = Http::ServerConnection::Adopt(fd, *this);
  m_connections.emplace(connection.get(), connection);
  connection->OnFinished([this](Http::ServerConnection* finished) {
    OnConnectionFinished(finished);
  });
  m_cut.Add(connection, fd, peer);
}

void QueueingServer::OnConnectionFinished(Http::ServerConnection* connection)
{
  m_connections.erase(connection);
  m_cut.Remove(connection);
  std::erase_if(m_waiting, [&](const Work& work) {
    return work.connection.get() == connection;
  });
  if (m_running.erase(connection) > 0)
    RunNext();
}

void QueueingServer::SetCut(const StandIns::NetworkCut& cut)
{
  m_cut.Begin(cut);
  if (m_listener)
    m_cut.ApplyTo(m_listener->Descriptor());
}

void QueueingServer::EndCut()
{
  m_cut.End();
  if (m_listener)
    m_cut.ApplyTo(m_listener->Descriptor());
}

void QueueingServer::BeginBrittle(int rejections_per_second, bool crashes)
{
  m_rejections.clear();
  m_brittle = {rejections_per_second, crashes, Common::Now()};
}

void QueueingServer::EndBrittle()
{
  m_brittle.reset();
}

int QueueingServer::QueueLength() const
{
  return m_brittle && Common::Now() - m_brittle->since >= NOTICE ? m_capacity.queue_while_brittle
                                                                 : m_capacity.queue;
}

std::vector<Http::HeaderField> QueueingServer::Headers(const std::string& id) const
{
  std::vector<Http::HeaderField> headers{{"Attempt-Id", id}};
  if (m_brittle)
    headers.push_back({"Server-Brittle", std::to_string(m_brittle->rejections_per_second)});
  return headers;
}

void QueueingServer::NoteFreeSlotElsewhere()
{
  for (Work& work : m_waiting)
    if (!std::exchange(work.waited_beside_free_slot, true))
      ++m_requests.waited_beside_free_slot;
}

void QueueingServer::ReportLoadChange() const
{
  if (m_on_load_change)
    m_on_load_change();
}

void QueueingServer::OnRequest(const Connection& connection, Http::ReceivedRequest request)
{
  const std::string id = HeaderValue(request.head, "Attempt-Id");
  const std::string expected_instance = HeaderValue(request.head, "Expect-Instance");
  const bool is_stream = request.head.target.starts_with("/stream/");
  if (!expected_instance.empty() && expected_instance != m_instance)
    Reject(connection, 421, id);
  else if (request.head.target == "/report")
    connection->Respond(
        200, "OK", Headers(id),
        Common::DumpJson({{"seq", 0}, {"busy", false}, {"born", m_instance_number}}));
  else if (++m_requests.received; static_cast<int>(m_running.size()) < m_capacity.slots)
    Run({connection, id, is_stream});
  else if (static_cast<int>(m_waiting.size()) < QueueLength())
  {
    m_waiting.push_back({connection, id, is_stream});
    ReportLoadChange();
  }
  else
  {
    ++m_requests.rejected;
    Reject(connection, 503, id);
    const auto now = Common::Now();
    m_rejections.push_back(now);
    while (now - m_rejections.front() > REJECTION_WINDOW)
      m_rejections.pop_front();
    m_counts.rejections += m_brittle ? 1 : 0;
    if (m_brittle && m_brittle->crashes &&
        static_cast<int>(m_rejections.size()) > m_brittle->rejections_per_second)
      Crash();
  }
}

void QueueingServer::Reject(const Connection& connection, int status, const std::string& id)
{
  auto headers = Headers(id);
  headers.push_back({"Not-Run", "1"});
  headers.push_back({"Instance", m_instance});
  connection->Respond(status, Http::ReasonPhrase(status), headers, "");
}

void QueueingServer::Run(Work work)
{
  m_running.emplace(work.connection.get(), work.id);
  Common::Reactor::Get().After(
      m_capacity.work, [this, work = std::move(work), instance = m_instance_number] {
        const auto found = m_running.find(work.connection.get());
        if (instance != m_instance_number || found == m_running.end() || found->second != work.id)
          return;
        m_running.erase(found);
        auto headers = Headers(work.id);
        headers.push_back({"Server-Stamp", "s"});
        if (work.is_stream)
          headers.push_back({"Content-Type", "text/event-stream"});
        work.connection->Respond(200, "OK", headers, "id: 1\ndata: " + work.id + "\n\n");
        RunNext();
        if (HasFreeSlot())
          ReportLoadChange();
      });
}

void QueueingServer::RunNext()
{
  if (m_waiting.empty() || static_cast<int>(m_running.size()) >= m_capacity.slots)
    return;
  Work next = std::move(m_waiting.front());
  m_waiting.pop_front();
  Run(std::move(next));
}

void QueueingServer::Crash()
{
  ++m_counts.falls;
  m_listener.reset();
  m_store.Remove("servers", m_instance);
  m_rejections.clear();
  m_waiting.clear();
  m_running.clear();
  m_cut.ResetAll();
  Common::Reactor::Get().After(DOWN_TIME, [this] {
    (void)Launch();
  });
}
} // namespace OverloadedServers
