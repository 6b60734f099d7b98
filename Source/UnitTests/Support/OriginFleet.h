// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/MemberList.h"
#include "Gateway/Dispatcher.h"
#include "Orders/MemberExchange.h"
#include "Orders/OriginExchange.h"

/// Daemons that exchange the list of daemons and the origins of streams over a simulated network,
/// in one process and without sockets.
namespace UnitTests
{
inline const Gateway::PoolId ORIGIN_POOL{"p"};
inline const Gateway::SoftwareVersion ORIGIN_VERSION{"a"};
inline const Gateway::SoftwareVersion OTHER_VERSION{"b"};

/// A position in the fleet; a daemon that restarts keeps it.
using DaemonIndex = std::size_t;

struct SimulatedDatagram
{
  DaemonIndex from = 0;
  DaemonIndex to = 0;
  std::string bytes;
};

class SimulatedDaemon
{
public:
  using Sender = Orders::OriginExchange::Sender;

  SimulatedDaemon(const Fleet::ListedDaemon& self, const Sender& send);

  /// Both versions have servers, so that the origins of all streams are copied.
  void KnowBothVersions();
  void OnDatagram(const std::string& bytes, const Http::Endpoint& from);

  const Fleet::ListedDaemon self;
  Gateway::Dispatcher dispatcher;
  Orders::MemberExchange members;
  Orders::OriginExchange origins;
  std::int64_t last_fence = 0; ///< Of the latest holder known.
  bool is_holder = false;
};

class OriginFleet
{
public:
  /// Decides whether a datagram is lost.
  using LossRule = std::function<bool(const SimulatedDatagram&)>;

  /// Daemon i runs in data centre i modulo `places`. All have the whole list of daemons.
  OriginFleet(std::size_t daemons, std::size_t places);

  /// Runs all daemons for some time. The holder announces the list as the hub does.
  void RunFor(Common::Milliseconds span);
  /// Runs until copies that a change of the list calls for have been moved.
  void Settle();
  void SetHolder(std::optional<DaemonIndex> holder);
  void SetLoss(LossRule rule) { m_is_lost = std::move(rule); }
  /// Daemons with different values for `side` cannot reach each other.
  void Partition(const std::function<int(DaemonIndex)>& side);
  void Heal();
  void Kill(DaemonIndex daemon);
  /// The daemon starts again with nothing, under the same address. Size() starts a new daemon.
  void Restart(DaemonIndex daemon);
  void RestartAllInTurn();

  SimulatedDaemon& At(DaemonIndex daemon) { return *m_daemons.at(daemon); }
  bool IsRunning(DaemonIndex daemon) const { return m_daemons.at(daemon) != nullptr; }
  std::size_t Size() const { return m_daemons.size(); }
  Fleet::PlaceHash PlaceOf(DaemonIndex daemon) const;
  std::optional<DaemonIndex> IndexOf(const Http::Endpoint& endpoint) const;
  static Http::Endpoint EndpointOf(DaemonIndex daemon);
  static Gateway::StreamKey StreamOf(int number);

  /// A caller receives an event of the stream through the daemon.
  void Begin(DaemonIndex daemon, int stream,
             const Gateway::SoftwareVersion& version = ORIGIN_VERSION);
  /// Daemon asks for the origin of the stream, and goes on with it as a relay does.
  void Ask(DaemonIndex daemon, int stream);
  std::optional<Gateway::StreamOrigin> OriginAt(DaemonIndex daemon, int stream);
  /// Of the streams from 0 to `count`, how many have an origin that `daemon` finds in `span`.
  int CountFound(DaemonIndex daemon, int count,
                 Common::Milliseconds span = Common::Milliseconds(300));
  bool HaveSameList();

  bool know_both_versions = true;       ///< Daemons that start do; otherwise none.
  std::optional<DaemonIndex> suspended; ///< Sends no reports, and does not notice it.
  std::vector<SimulatedDatagram> sent;  ///< Since it was last cleared, if `records_sent`.
  bool records_sent = false;

private:
  void Send(DaemonIndex from, const Http::Endpoint& to, const std::string& bytes);
  void Deliver();
  void Announce();
  std::vector<Fleet::ListedDaemon> ReportingTo(DaemonIndex holder) const;
  bool IsCut(DaemonIndex from, DaemonIndex to) const;

  std::size_t m_places;
  std::vector<std::unique_ptr<SimulatedDaemon>> m_daemons;
  std::deque<SimulatedDatagram> m_in_transit;
  LossRule m_is_lost;
  std::function<int(DaemonIndex)> m_side;
  std::optional<DaemonIndex> m_holder;
  std::int64_t m_fence = 0;
  std::uint32_t m_runs = 0;
  Common::TimePoint m_announced_at;
};
} // namespace UnitTests
