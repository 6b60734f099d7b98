// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <string>

#include "Common/Reactor.h"
#include "Gateway/Dispatcher.h"
#include "Http/TcpStream.h"
#include "Orders/Messages.h"
#include "Orders/OrderDesk.h"

namespace Orders
{
struct HubSettings
{
  Common::VmId self;
  Common::Incarnation run;
  Http::Endpoint local;
  int assumed_daemons = 16; ///< For sharing the retry budget while no holder is heard.
};

/// Carries reports between the daemons and the holder of the order lease: every daemon talks to the
/// holder only, so that the traffic grows with the number of daemons, not with its square.
class Hub : public Common::DescriptorHandler
{
public:
  Hub(HubSettings settings, Gateway::Dispatcher& dispatcher, OrderDesk& desk);
  ~Hub() override;
  Hub(const Hub&) = delete;
  Hub& operator=(const Hub&) = delete;

  Common::Result<Common::Done> Start();
  /// Where the holder takes reports; nothing where none is known.
  void SetHolder(std::optional<Http::Endpoint> endpoint, bool is_self, std::int64_t fence);
  /// Sends this daemon's report soon: there is news.
  void ReportSoon();
  /// The holder tells all daemons soon.
  void AnnounceSoon();

  void OnDescriptorEvents(std::uint32_t events) override;

private:
  struct Peer
  {
    Http::Endpoint endpoint;
    Common::TimePoint heard_at;
  };

  void ReportNow();
  void AnnounceNow();
  void SendTo(const Http::Endpoint& peer, const Envelope& envelope);
  void TakeDatagram(std::string_view bytes, const Http::Endpoint& from);
  void TakeHolderReport(const HolderReport& report);
  void NoteHolderSilence();
  DaemonReport MakeReport();

  HubSettings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  OrderDesk& m_desk;
  int m_fd = -1;
  std::uint64_t m_watch = 0;
  std::optional<Http::Endpoint> m_holder;
  bool m_is_holder = false;
  std::int64_t m_fence = 0;
  std::map<Common::VmId, Peer> m_peers; ///< Daemons that report to this holder.
  std::uint64_t m_sequence = 0;
  std::pair<std::int64_t, std::uint64_t> m_last_heard; ///< Fence and sequence of the newest report.
  Common::TimePoint m_holder_heard_at;
  Common::OwnedTimer m_report_timer;
  Common::OwnedTimer m_regular_timer;
  Common::OwnedTimer m_announce_timer;
};
} // namespace Orders
