// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Support/OriginFleet.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "Orders/OriginMessages.h"
#include "UnitTests/Support/Loopback.h"

namespace UnitTests
{
using Common::Milliseconds;

namespace
{
constexpr std::uint16_t FIRST_PORT = 1000;
/// Interval of the holder's announcements.
constexpr Milliseconds ANNOUNCE_INTERVAL{50};
constexpr Milliseconds STEP{2};
/// Covers the delay before copies are moved, and the moving of all groups.
constexpr Milliseconds SETTLE_TIME{500};
} // namespace

SimulatedDaemon::SimulatedDaemon(const Fleet::ListedDaemon& daemon, const Sender& send)
    : self(daemon),
      dispatcher(Gateway::DispatcherSettings{}),
      members(daemon.messages, send),
      origins({daemon.messages, daemon.place}, dispatcher, members, send)
{
  members.OnChange([this] {
    origins.OnMembersChanged();
  });
  origins.Start();
}

void SimulatedDaemon::KnowBothVersions()
{
  for (const auto& version : {ORIGIN_VERSION, OTHER_VERSION})
    dispatcher.Versions().Note(ORIGIN_POOL, version, Common::Now());
}

void SimulatedDaemon::OnDatagram(const std::string& bytes, const Http::Endpoint& from)
{
  members.OnContact(from);
  if (bytes.starts_with(static_cast<char>(Orders::OriginMessage::MARKER)))
  {
    origins.OnMessage(bytes, from);
    return;
  }
  members.OnMessage(bytes, from, [this](std::int64_t fence) {
    const bool is_current = !is_holder && fence >= last_fence;
    if (is_current)
      last_fence = fence;
    return is_current;
  });
}

OriginFleet::OriginFleet(std::size_t daemons, std::size_t places)
    : m_places(places), m_daemons(daemons)
{
  for (DaemonIndex daemon = 0; daemon < daemons; ++daemon)
    Restart(daemon);
  SetHolder(0);
  Settle();
  // Lists are requested from random daemons, some of which have just started.
  RunUntil(
      [this] {
        RunFor(STEP);
        return HaveSameList();
      },
      Milliseconds(10000));
  Settle();
}

Fleet::PlaceHash OriginFleet::PlaceOf(DaemonIndex daemon) const
{
  return static_cast<Fleet::PlaceHash>(daemon % m_places + 1);
}

Http::Endpoint OriginFleet::EndpointOf(DaemonIndex daemon)
{
  return {0x0100007f, static_cast<std::uint16_t>(FIRST_PORT + daemon)};
}

std::optional<DaemonIndex> OriginFleet::IndexOf(const Http::Endpoint& endpoint) const
{
  const auto index = static_cast<DaemonIndex>(endpoint.port) - FIRST_PORT;
  return index < m_daemons.size() && EndpointOf(index) == endpoint ? std::optional(index)
                                                                   : std::nullopt;
}

Gateway::StreamKey OriginFleet::StreamOf(int number)
{
  return Gateway::KeyOf(Accounts::AccountName("account"), "request-" + std::to_string(number));
}

void OriginFleet::Send(DaemonIndex from, const Http::Endpoint& to, const std::string& bytes)
{
  const auto receiver = IndexOf(to);
  // A daemon that was killed no longer sends.
  if (!receiver || !IsRunning(from))
    return;
  SimulatedDatagram datagram{from, *receiver, bytes};
  if (records_sent)
    sent.push_back(datagram);
  if (!IsCut(from, *receiver) && !(m_is_lost && m_is_lost(datagram)))
    m_in_transit.push_back(std::move(datagram));
}

void OriginFleet::Deliver()
{
  for (const SimulatedDatagram& datagram : std::exchange(m_in_transit, {}))
    if (IsRunning(datagram.to) && !IsCut(datagram.from, datagram.to))
      At(datagram.to).OnDatagram(datagram.bytes, EndpointOf(datagram.from));
}

bool OriginFleet::IsCut(DaemonIndex from, DaemonIndex to) const
{
  return m_side && m_side(from) != m_side(to);
}

std::vector<Fleet::ListedDaemon> OriginFleet::ReportingTo(DaemonIndex holder) const
{
  std::vector<Fleet::ListedDaemon> result;
  for (DaemonIndex daemon = 0; daemon < m_daemons.size(); ++daemon)
    if (IsRunning(daemon) && !IsCut(daemon, holder) && suspended != daemon)
      result.push_back(m_daemons[daemon]->self);
  return result;
}

void OriginFleet::Announce()
{
  if (!m_holder || !IsRunning(*m_holder))
    return;
  At(*m_holder).members.Announce(ReportingTo(*m_holder), m_fence, Common::Now());
  for (DaemonIndex daemon = 0; daemon < m_daemons.size(); ++daemon)
    if (IsRunning(daemon) && suspended != daemon)
    {
      At(daemon).origins.SetContact(!IsCut(daemon, *m_holder));
      if (daemon != *m_holder)
        At(daemon).members.Tick(Common::Now());
    }
}

void OriginFleet::RunFor(Milliseconds span)
{
  const auto end = Common::Now() + span;
  do
  {
    if (Common::Now() - m_announced_at >= ANNOUNCE_INTERVAL)
    {
      m_announced_at = Common::Now();
      Announce();
    }
    Deliver();
    UnitTests::RunFor(STEP);
  } while (Common::Now() < end);
  Deliver();
}

void OriginFleet::Settle()
{
  RunFor(SETTLE_TIME);
}

void OriginFleet::SetHolder(std::optional<DaemonIndex> holder)
{
  if (m_holder && IsRunning(*m_holder))
    At(*m_holder).is_holder = false;
  m_holder = holder;
  ++m_fence;
  for (const auto& daemon : m_daemons)
  {
    if (!daemon)
      continue;
    const bool is_self = holder && daemon->self.messages == EndpointOf(*holder);
    daemon->is_holder = is_self;
    const auto known = holder && !is_self ? std::optional(EndpointOf(*holder)) : std::nullopt;
    daemon->members.SetHolder(known);
    daemon->origins.SetHolder(known);
  }
}

void OriginFleet::Partition(const std::function<int(DaemonIndex)>& side)
{
  m_side = side;
}

void OriginFleet::Heal()
{
  m_side = nullptr;
}

void OriginFleet::Kill(DaemonIndex daemon)
{
  m_daemons.at(daemon).reset();
  std::erase_if(m_in_transit, [daemon](const SimulatedDatagram& datagram) {
    return datagram.to == daemon;
  });
}

void OriginFleet::Restart(DaemonIndex daemon)
{
  if (daemon == m_daemons.size())
    m_daemons.emplace_back();
  if (IsRunning(daemon))
    Kill(daemon);
  const Fleet::ListedDaemon self{EndpointOf(daemon), PlaceOf(daemon), ++m_runs};
  m_daemons[daemon] = std::make_unique<SimulatedDaemon>(
      self, [this, daemon, run = m_runs](const Http::Endpoint& to, const std::string& bytes) {
        if (IsRunning(daemon) && At(daemon).self.run == run)
          Send(daemon, to, bytes);
      });
  if (know_both_versions)
    At(daemon).KnowBothVersions();
  if (m_holder && *m_holder != daemon)
  {
    At(daemon).members.SetHolder(EndpointOf(*m_holder));
    At(daemon).origins.SetHolder(EndpointOf(*m_holder));
  }
}

void OriginFleet::RestartAllInTurn()
{
  for (DaemonIndex daemon = 0; daemon < m_daemons.size(); ++daemon)
  {
    if (m_holder == daemon)
    {
      SetHolder((daemon + 1) % m_daemons.size());
      Settle();
    }
    Restart(daemon);
    Settle();
    RunUntil(
        [this] {
          RunFor(STEP);
          return HaveSameList();
        },
        Milliseconds(10000));
    Settle();
  }
}

void OriginFleet::Begin(DaemonIndex daemon, int stream, const Gateway::SoftwareVersion& version)
{
  At(daemon).dispatcher.NoteStream(StreamOf(stream), ORIGIN_POOL, version, std::nullopt);
}

void OriginFleet::Ask(DaemonIndex daemon, int stream)
{
  At(daemon).dispatcher.QueryOrigin(StreamOf(stream), ORIGIN_POOL);
}

std::optional<Gateway::StreamOrigin> OriginFleet::OriginAt(DaemonIndex daemon, int stream)
{
  const auto entry = At(daemon).dispatcher.Origins().Find(StreamOf(stream), Common::Now());
  return entry ? std::optional(entry->origin) : std::nullopt;
}

int OriginFleet::CountFound(DaemonIndex daemon, int count, Milliseconds span)
{
  for (int stream = 0; stream < count; ++stream)
    if (!OriginAt(daemon, stream))
      Ask(daemon, stream);
  RunFor(span);
  const auto streams = std::views::iota(0, count);
  return static_cast<int>(std::ranges::count_if(streams, [&](int stream) {
    const auto origin = OriginAt(daemon, stream);
    return origin && origin->version == Gateway::KeyOf(ORIGIN_POOL, ORIGIN_VERSION);
  }));
}

bool OriginFleet::HaveSameList()
{
  std::optional<std::uint64_t> checksum;
  for (const auto& daemon : m_daemons)
  {
    if (!daemon)
      continue;
    if (checksum.value_or(daemon->members.Members().Checksum()) !=
        daemon->members.Members().Checksum())
      return false;
    checksum = daemon->members.Members().Checksum();
  }
  return true;
}
} // namespace UnitTests
