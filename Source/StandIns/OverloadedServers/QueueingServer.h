// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Common/Reactor.h"
#include "Http/ServerConnection.h"
#include "StandIns/Soak/StandInStore.h"
#include "StandIns/Support/CutConnections.h"

namespace OverloadedServers
{
/// How much a server takes at once.
struct Capacity
{
  int slots = 3;               ///< Requests that it works on at the same time.
  int queue = 12;              ///< Requests that may wait.
  int queue_while_brittle = 2; ///< The same, some time after it began to state that it is brittle.
  Common::Milliseconds work{120};

  double PerSecond() const;
};

/// What all servers did while they were brittle.
struct BrittleCounts
{
  int falls = 0;
  int rejections = 0;
};

/// What one server did since the last reset.
struct RequestCounts
{
  int received = 0;
  int rejected = 0; ///< Because its queue was full.
  /// Waited in its queue while another server had a free slot.
  int waited_beside_free_slot = 0;
};

/// A stand-in for a backend server without models, with slots and a queue. While it is brittle it
/// states so in all responses, and crashes if it has to reject too many requests within a second.
class QueueingServer : public Http::RequestHandler
{
public:
  QueueingServer(std::string name, Http::Endpoint endpoint, Soak::StandInStore& store,
                 Capacity capacity, BrittleCounts& counts);

  /// Listens and writes the entry of its first instance.
  Common::Result<Common::Done> Start();
  /// From now on the server states in its responses that it bears so many rejections a second.
  /// `crashes`: whether it crashes beyond that.
  void BeginBrittle(int rejections_per_second, bool crashes);
  void EndBrittle();
  /// Cuts the connections with these VMs, or ends the cut of all.
  void SetCut(const StandIns::NetworkCut& cut);
  void EndCut();
  bool IsRunning() const { return m_listener.has_value(); }
  const Capacity& GetCapacity() const { return m_capacity; }
  bool HasFreeSlot() const
  {
    return IsRunning() && static_cast<int>(m_running.size()) < m_capacity.slots;
  }
  /// Called after a request was added to the queue, or a slot has become free.
  void OnLoadChange(std::function<void()> callback) { m_on_load_change = std::move(callback); }
  /// Counts the requests that wait now as having waited while another server had a free slot.
  void NoteFreeSlotElsewhere();
  const RequestCounts& Requests() const { return m_requests; }
  void ResetRequests() { m_requests = {}; }

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  using Connection = std::shared_ptr<Http::ServerConnection>;
  struct Work
  {
    Connection connection;
    std::string id;
    bool is_stream = false; ///< The response is a stream of one event.
    bool waited_beside_free_slot = false;
  };

  Common::Result<Common::Done> Launch();
  void WriteEntry();
  void Accept(int fd, const Http::Endpoint& peer);
  void OnConnectionFinished(Http::ServerConnection* connection);
  int QueueLength() const;
  void Run(Work work);
  void RunNext();
  void ReportLoadChange() const;
  void Reject(const Connection& connection, int status, const std::string& id);
  /// Resets all connections and removes the entry; a new instance starts after a while.
  void Crash();
  std::vector<Http::HeaderField> Headers(const std::string& id) const;

  std::string m_name;
  std::string m_instance;
  int m_instance_number = 0;
  Http::Endpoint m_endpoint;
  Soak::StandInStore& m_store;
  Capacity m_capacity;
  BrittleCounts& m_counts;
  Http::ServerLimits m_limits;
  std::optional<Http::TcpListener> m_listener; ///< None after a crash, until it is back.
  std::map<Http::ServerConnection*, Connection> m_connections;
  std::map<Http::ServerConnection*, std::string> m_running; ///< Id of the request.
  std::deque<Work> m_waiting;
  RequestCounts m_requests;
  std::function<void()> m_on_load_change;
  struct Brittleness
  {
    int rejections_per_second = 0;
    bool crashes = true;
    Common::TimePoint since;
  };
  std::optional<Brittleness> m_brittle;
  std::deque<Common::TimePoint> m_rejections; ///< Within the last second.
  StandIns::CutConnections m_cut;
};
} // namespace OverloadedServers
