// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/Dispatcher.h"
#include "Http/Channel.h"
#include "Orders/Hub.h"
#include "Orders/OrderDesk.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/RelayWorld.h"

/// Several daemons, one of them the holder of the order lease, before backend servers that tell
/// something of themselves in their answers.
namespace UnitTests
{
/// A backend server that answers at once and counts what arrives.
class LimitedServer
{
public:
  LimitedServer();

  Http::Endpoint Address() const { return m_server->Address(); }
  /// Named in all answers from now on; empty: none.
  void SetLimit(std::string limit) { m_limit = std::move(limit); }
  /// The value of the header that announces its end, in all answers from now on; empty: none.
  void SetDraining(std::string value) { m_draining = std::move(value); }
  /// Rejects all requests from now on; `retry_after` stands in the answers where it is not empty.
  void Reject(std::string retry_after);
  void Accept() { m_rejects = false; }
  /// Requests of one daemon that arrived at `from` and later.
  std::size_t ArrivalsOf(std::size_t vm, std::size_t vms, Common::TimePoint from) const;
  /// The most requests that one daemon sent into one of the times in which the server had asked it
  /// for none, beginning `leeway` after the answer that said so.
  std::size_t WorstBackoff(std::size_t vms, Common::Milliseconds span,
                           Common::Milliseconds leeway) const;
  /// When the daemon first got an answer that announces the server's end.
  std::optional<Common::TimePoint> AnnouncedTo(std::size_t vm, std::size_t vms) const;
  std::size_t Arrivals() const { return m_arrivals.size(); }
  std::size_t ArrivalsSince(Common::TimePoint moment) const;
  /// The most arrivals within `span`, of those since `from`.
  std::size_t WorstWindow(Common::Milliseconds span, Common::TimePoint from) const;

private:
  struct Arrival
  {
    Common::TimePoint at;
    std::size_t number = 0; ///< Of the request, by which its daemon is known.
    bool rejected = false;
    bool announced = false; ///< The answer announced the server's end.
  };

  std::string m_limit;
  std::string m_draining;
  std::string m_retry_after;
  bool m_rejects = false;
  std::deque<Arrival> m_arrivals;
  std::unique_ptr<TestServer> m_server;
};

/// One daemon with its callers.
class LimitedVm
{
public:
  explicit LimitedVm(const std::string& name);

  void AddServer(const std::string& instance, const Http::Endpoint& endpoint);
  /// Sends a request that may be repeated.
  void Ask(const std::string& id, std::function<void(int status)> on_answer);

  Http::Endpoint hub_endpoint;
  Gateway::Dispatcher dispatcher;
  Orders::OrderDesk desk;
  Orders::Hub hub;

private:
  Http::TcpListener m_listener;
  std::unique_ptr<Http::Channel> m_callers;
};

class LimitedFleet
{
public:
  LimitedFleet(int vms, int servers);

  /// Makes one daemon the holder and tells all others.
  void SetHolder(std::size_t vm, std::int64_t fence);
  /// So many requests a second, at the daemons in turn.
  void StartLoad(double per_second);
  void StopLoad() { m_load_timer.Stop(); }
  /// All servers name the limit from now on; empty: none.
  void SetLimits(const std::string& limit);
  std::size_t ArrivalsSince(Common::TimePoint moment) const;

  std::vector<std::unique_ptr<LimitedVm>> vms;
  std::vector<std::unique_ptr<LimitedServer>> servers;
  int asked = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int refused_late = 0; ///< Refused after it has waited.

private:
  void SendNext();

  Common::Milliseconds m_gap{0};
  Common::OwnedTimer m_load_timer;
};
} // namespace UnitTests
