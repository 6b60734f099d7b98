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
#include "Orders/OrderManager.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/RelayWorld.h"

/// Several daemons, one of them the lease holder, with backend servers whose responses carry
/// signals such as a rate limit.
namespace UnitTests
{
/// A backend server that responds immediately and records the requests that arrive.
class LimitedServer
{
public:
  LimitedServer();

  Http::Endpoint Address() const { return m_server->Address(); }
  /// Sets the limit that all responses announce from now on; empty: none.
  void SetLimit(std::string limit) { m_limit = std::move(limit); }
  /// Sets the value of the header that announces draining in all responses from now on; empty: no
  /// such header.
  void SetDraining(std::string value) { m_draining = std::move(value); }
  /// Rejects all requests from now on, with a Retry-After of `retry_after` unless that is empty.
  void Reject(std::string retry_after);
  void Accept() { m_rejects = false; }
  /// Counts the requests of one daemon that arrived at `from` or later.
  std::size_t ArrivalsOf(std::size_t vm, std::size_t vms, Common::TimePoint from) const;
  /// The most requests that one daemon sent during one Retry-After of `span`, not counting those in
  /// the first `leeway` after the rejection.
  std::size_t MaxSentDuringBackoff(std::size_t vms, Common::Milliseconds span,
                                   Common::Milliseconds leeway) const;
  /// When the daemon was first sent a response that announces that the server is draining.
  std::optional<Common::TimePoint> AnnouncedTo(std::size_t vm, std::size_t vms) const;
  std::size_t Arrivals() const { return m_arrivals.size(); }
  std::size_t ArrivalsSince(Common::TimePoint moment) const;
  /// The most arrivals in any window of `span` that begins at `from` or later.
  std::size_t WorstWindow(Common::Milliseconds span, Common::TimePoint from) const;

private:
  struct Arrival
  {
    Common::TimePoint at;
    std::size_t number = 0; ///< Of the request; modulo the number of daemons it gives the daemon.
    bool rejected = false;
    bool announced = false; ///< The response announced that the server is draining.
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
  /// Sends a repeatable request.
  void Ask(const std::string& id, std::function<void(int status)> on_answer);

  Http::Endpoint hub_endpoint;
  Gateway::Dispatcher dispatcher;
  Orders::OrderManager order_manager;
  Orders::Hub hub;

private:
  Http::TcpListener m_listener;
  std::unique_ptr<Http::Channel> m_callers;
};

class LimitedFleet
{
public:
  LimitedFleet(int vms, int servers);

  /// Makes one daemon the lease holder and informs the others.
  void SetHolder(std::size_t vm, std::int64_t fence);
  /// Sends `per_second` requests a second to the daemons in turn.
  void StartLoad(double per_second);
  void StopLoad() { m_load_timer.Stop(); }
  /// Sends all requests to one daemon from now on, as when the platform hands it all connections.
  void SendAllTo(std::size_t vm) { m_only_vm = vm; }
  /// Sets the limit that all servers announce from now on; empty: none.
  void SetLimits(const std::string& limit);
  std::size_t ArrivalsSince(Common::TimePoint moment) const;

  std::vector<std::unique_ptr<LimitedVm>> vms;
  std::vector<std::unique_ptr<LimitedServer>> servers;
  int asked = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int refused_late = 0; ///< Refused only after a wait.

private:
  void SendNext();

  Common::Milliseconds m_gap{0};
  std::optional<std::size_t> m_only_vm;
  Common::OwnedTimer m_load_timer;
};
} // namespace UnitTests
