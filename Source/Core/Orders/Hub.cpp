// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/Hub.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;

/// Regular reports of a daemon, and answers of the holder.
constexpr Milliseconds REGULAR_INTERVAL{250};
/// News waits so long for more news.
constexpr Milliseconds NEWS_DELAY{4};
/// A datagram is at most so long; the kernel cuts it into packets.
constexpr std::size_t MAX_DATAGRAM = 60000;
/// A daemon that is silent for so long gets no more announcements.
constexpr Milliseconds PEER_SILENT_AFTER{2000};
/// Placements of a holder that is silent for so long are not relied on.
constexpr Milliseconds HOLDER_SILENT_AFTER{2000};
constexpr int DATAGRAMS_PER_TURN = 64;
} // namespace

Hub::Hub(HubSettings settings, Gateway::Dispatcher& dispatcher, OrderDesk& desk)
    : m_settings(std::move(settings)), m_dispatcher(dispatcher), m_desk(desk)
{
}

Hub::~Hub()
{
  if (m_fd < 0)
    return;
  Common::Reactor::Get().Unwatch(m_watch, m_fd);
  close(m_fd);
}

Common::Result<Common::Done> Hub::Start()
{
  m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = m_settings.local.ToSockaddr();
  if (m_fd < 0 || bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    return {Common::FailureKind::Unavailable, m_settings.local.ToString() + ": " + std::strerror(errno)};
  m_watch = Common::Reactor::Get().Watch(m_fd, EPOLLIN, this);
  m_dispatcher.Budget().SetDaemons(m_settings.assumed_daemons);
  ReportNow();
  return Common::Done{};
}

void Hub::SetHolder(std::optional<Http::Endpoint> endpoint, bool is_self, std::int64_t fence)
{
  if (m_holder == endpoint && m_is_holder == is_self && m_fence == fence)
    return;
  m_holder = endpoint;
  m_is_holder = is_self;
  m_fence = fence;
  m_peers.clear();
  ReportSoon();
}

void Hub::ReportSoon()
{
  if (m_report_timer.Running())
    return;
  m_report_timer.Start(NEWS_DELAY, [this] {
    ReportNow();
  });
}

void Hub::AnnounceSoon()
{
  if (!m_is_holder || m_announce_timer.Running())
    return;
  m_announce_timer.Start(NEWS_DELAY, [this] {
    AnnounceNow();
  });
}

DaemonReport Hub::MakeReport()
{
  DaemonReport report;
  report.vm = m_settings.self;
  report.run = m_settings.run;
  report.sequence = ++m_sequence;
  for (const Gateway::ArtifactDemand& demand : m_dispatcher.TakeDemand())
    report.demand.push_back({demand.pool, demand.artifact, demand.waiting, demand.priority,
                             demand.oldest_wait.count(), demand.arrivals});
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    if (server->InFlight() == 0)
      continue;
    LoadLine line;
    line.instance = instance;
    line.in_flight = server->InFlight();
    for (const auto& [model, count] : server->InFlightByModel())
      line.by_model[model] = count;
    report.loads.push_back(std::move(line));
  }
  return report;
}

void Hub::ReportNow()
{
  m_regular_timer.Start(REGULAR_INTERVAL, [this] {
    ReportNow();
  });
  NoteHolderSilence();
  if (!m_holder && !m_is_holder)
    return;
  const DaemonReport report = MakeReport();
  if (m_is_holder)
  {
    const auto now = Common::Now();
    m_desk.TakeReport(report, now);
    m_desk.Plan(now);
    AnnounceSoon();
    return;
  }
  Envelope envelope;
  envelope.from_daemon.push_back(report);
  SendTo(*m_holder, envelope);
}

void Hub::NoteHolderSilence()
{
  if (m_is_holder || Common::Now() - m_holder_heard_at < HOLDER_SILENT_AFTER)
    return;
  m_dispatcher.Budget().SetDaemons(m_settings.assumed_daemons);
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    server->SetRemoteInFlight(0);
    server->ForgetPlacement();
  }
}

void Hub::AnnounceNow()
{
  const auto now = Common::Now();
  std::erase_if(m_peers, [&](const auto& entry) {
    return now - entry.second.heard_at > PEER_SILENT_AFTER;
  });
  HolderReport report;
  report.vm = m_settings.self;
  report.fence = m_fence;
  report.sequence = ++m_sequence;
  report.daemons = static_cast<std::int32_t>(m_peers.size()) + 1;
  for (const auto& [vm, peer] : m_peers)
  {
    report.placements = m_desk.Placements(vm);
    Envelope envelope;
    envelope.from_holder.push_back(report);
    SendTo(peer.endpoint, envelope);
  }
  report.placements = m_desk.Placements(m_settings.self);
  TakeHolderReport(report);
}

void Hub::SendTo(const Http::Endpoint& peer, const Envelope& envelope)
{
  const std::string bytes = Daemons::Encode(envelope);
  if (bytes.size() > MAX_DATAGRAM)
  {
    Common::LogEvent(Common::LogLevel::Error, "report-too-long", {{"bytes", bytes.size()}});
    return;
  }
  const sockaddr_in address = peer.ToSockaddr();
  // What is not sent is made good by the next report.
  (void)sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void Hub::OnDescriptorEvents(std::uint32_t)
{
  std::array<char, MAX_DATAGRAM> buffer;
  for (int i = 0; i < DATAGRAMS_PER_TURN; ++i)
  {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count =
        recvfrom(m_fd, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0)
      return;
    TakeDatagram({buffer.data(), static_cast<std::size_t>(count)}, Http::Endpoint::FromSockaddr(from));
  }
}

void Hub::TakeDatagram(std::string_view bytes, const Http::Endpoint& from)
{
  const auto envelope = Daemons::Decode<Envelope>(bytes);
  if (!envelope)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", envelope.Reason().detail}});
    return;
  }
  const auto now = Common::Now();
  for (const DaemonReport& report : envelope->from_daemon)
  {
    if (!m_is_holder)
      continue;
    const bool is_new = !m_peers.contains(report.vm);
    m_peers[report.vm] = {from, now};
    m_desk.TakeReport(report, now);
    const bool anyone_waits = std::ranges::any_of(report.demand, [](const DemandLine& line) {
      return line.waiting > 0;
    });
    if (anyone_waits)
      m_desk.Plan(now);
    if (is_new)
      AnnounceSoon();
  }
  for (const HolderReport& report : envelope->from_holder)
    if (!m_is_holder)
      TakeHolderReport(report);
}

void Hub::TakeHolderReport(const HolderReport& report)
{
  const std::pair age(report.fence, report.sequence);
  if (age <= m_last_heard)
    return;
  m_last_heard = age;
  m_holder_heard_at = Common::Now();
  m_dispatcher.Budget().SetDaemons(report.daemons);
  std::map<Gateway::InstanceId, const PlacementLine*> lines;
  for (const PlacementLine& line : report.placements)
    lines.emplace(line.instance, &line);
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    const auto found = lines.find(instance);
    static const PlacementLine s_nothing;
    const PlacementLine& line = found == lines.end() ? s_nothing : *found->second;
    server->SetRemoteInFlight(std::max(line.in_flight_elsewhere, 0));
    server->SetPlacement({line.adapters.begin(), line.adapters.end()},
                         {line.leaving.begin(), line.leaving.end()});
  }
  m_dispatcher.WakeWaiting();
}
} // namespace Orders
