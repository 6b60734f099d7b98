// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Accounts/AllowanceKeeper.h"
#include "Common/Reactor.h"
#include "Gateway/Dispatcher.h"
#include "Http/TcpStream.h"
#include "Orders/DaemonCount.h"
#include "Orders/Messages.h"
#include "Orders/OrderDesk.h"
#include "Orders/PermitExchange.h"
#include "Orders/PlacementLog.h"
#include "Orders/SharedTables.h"

namespace Orders
{
struct HubSettings
{
  Common::VmId self;
  Common::Incarnation run;
  Http::Endpoint local;
  Common::Milliseconds handicap{0}; ///< How ill this VM is fit to hold the lease.
  double link_mbps = 1000;          ///< Of this VM.
};

/// What the holder tells about its lease.
struct LeaseWord
{
  std::int64_t fence = 0;
  std::int64_t version = 0;
  Common::Milliseconds left{0};
};

/// Carries reports between the daemons and the holder of the order lease: every daemon talks to the
/// holder only, so that the traffic grows with the number of daemons, not with its square. The
/// holder also passes on what it reads from the platform, which spares the others most of their
/// calls.
class Hub : public Common::DescriptorHandler
{
public:
  using LeaseWordHandler =
      std::function<void(const LeaseWord&, const Common::VmId&, const Http::Endpoint&)>;

  Hub(HubSettings settings, Gateway::Dispatcher& dispatcher, OrderDesk& desk);
  ~Hub() override;
  Hub(const Hub&) = delete;
  Hub& operator=(const Hub&) = delete;

  Common::Result<Common::Done> Start();
  /// The tables in the order of `SharedTable`.
  void SetTables(std::vector<TableAccess> tables) { m_tables = std::move(tables); }
  void OnLeaseWord(LeaseWordHandler handler) { m_on_lease_word = std::move(handler); }
  /// Where the holder takes reports; nothing where none is known.
  void SetHolder(std::optional<Http::Endpoint> endpoint, std::optional<LeaseWord> own_lease);
  /// Tells all daemons that this holder has stopped ordering; more than once, as datagrams get
  /// lost.
  void AnnounceAbdication(const LeaseWord& word);
  /// Daemons that report to the holder, as last told.
  int Daemons() const { return m_daemons.Get(); }
  /// The handicap of the daemon that is fittest to be the next holder, as last told.
  Common::Milliseconds LeastHandicap() const { return m_least_handicap; }
  /// True where the holder has been heard lately.
  bool HearsHolder() const;
  /// Sends this daemon's report soon: there is news.
  void ReportSoon();
  /// The holder tells all daemons soon.
  void AnnounceSoon();
  /// Permits for requests to servers with a limit.
  const PermitExchange& Permits() const { return m_permits; }

  void OnDescriptorEvents(std::uint32_t events) override;

private:
  struct Peer
  {
    Http::Endpoint endpoint;
    Common::TimePoint heard_at;
    RunHash run = 0;
    std::uint64_t sequence = 0;         ///< Of its last report.
    std::vector<std::int64_t> versions; ///< Of the shared tables, as it last told.
    std::vector<std::int64_t> sent;     ///< Up to which its tables were last sent.
    Common::TimePoint sent_at;
    std::uint64_t placement_version = 0;
    std::uint64_t placement_sent = 0;
    std::uint64_t crash_revision = 0;
    std::uint64_t crash_sent = 0;
    Common::Milliseconds handicap{0};
  };
  /// What became of one shared table's news.
  struct NewsState
  {
    Common::TimePoint whole_at; ///< When the holder's word was last current and without gaps.
  };

  void ReportNow();
  void AnnounceNow(bool regular);
  void SendTo(const Http::Endpoint& peer, const std::string& bytes);
  void TakeDatagram(std::string_view bytes, const Http::Endpoint& from);
  /// `written_after`: a moment before which the holder did not write the report.
  void TakeHolderReport(const HolderReport& report, const Http::Endpoint& from,
                        std::optional<Common::TimePoint> written_after);
  /// By the echo of this daemon's own report.
  std::optional<Common::TimePoint> WrittenAfter(const std::vector<HolderReply>& replies) const;
  HolderReply ReplyTo(const Common::VmId& vm, const Peer& peer, Common::TimePoint now) const;
  /// What a daemon has and wants of the accounts' limits; requests that wait are served at once.
  void TakeAllowances(const DaemonReport& report, const Peer& peer, Common::TimePoint now);
  void TakeReplies(const std::vector<HolderReply>& replies);
  /// The accounts whose limits this holder may divide now; nullptr where there are none, or where
  /// its lease may be over: this process may have been frozen.
  const Accounts::Directory* AccountsToDivide(Common::TimePoint now) const;
  /// How long the platform may hold this daemon's waiting calls.
  void SetWaits();
  /// This daemon's part of the retry budget follows from the number of daemons.
  void ShareBudget();
  void CheckHolder();
  void TakeNews(const std::vector<TableNews>& news, std::optional<Common::TimePoint> written_after);
  void TakePlacements(const HolderReport& report);
  void TakeCrashes(const HolderReport& report);
  /// The holder has read what this daemon saw, up to one of its reports.
  void ConfirmReport(std::uint64_t sequence);
  Common::Milliseconds LeastHandicapOfPeers() const;
  /// Up to where a daemon has, or will have when what is on its way arrives, the holder's news.
  /// Daemons with the same position get the same bytes.
  struct NewsPosition
  {
    std::uint64_t placements = 0;
    std::vector<std::int64_t> tables;
    std::uint64_t crashes = 0;

    auto operator<=>(const NewsPosition&) const = default;
  };
  /// An announcement for all daemons at one position.
  struct Announcement
  {
    std::string bytes;
    bool has_news = false;
    NewsPosition position_after;
  };
  NewsPosition PositionOf(Peer& peer, Common::TimePoint now) const;
  Announcement MakeAnnouncement(HolderReport report, const NewsPosition& position) const;
  Common::Milliseconds PushDelay() const;
  Common::Milliseconds RegularInterval() const;
  DaemonReport MakeReport();

  HubSettings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  OrderDesk& m_desk;
  int m_fd = -1;
  std::uint64_t m_watch = 0;
  std::optional<Http::Endpoint> m_holder;
  std::optional<LeaseWord> m_own_lease;
  Common::TimePoint m_own_lease_until;    ///< Where the lease is ours.
  Accounts::AllowanceKeeper m_allowances; ///< Set while this daemon is the holder.
  PermitExchange m_permits;
  std::vector<TableAccess> m_tables;
  LeaseWordHandler m_on_lease_word;
  PlacementLog m_placements;
  struct SentReport
  {
    std::uint64_t sequence = 0;
    Common::TimePoint at; ///< A moment before it was sent.
    /// What this daemon itself saw of requests that end servers stood in it up to here.
    std::uint64_t own_crash_revision = 0;
  };
  std::deque<SentReport> m_sent_reports; ///< The last ones.
  std::vector<NewsState> m_news_states;
  bool m_missed_news = false;
  std::uint64_t m_placement_heard = 0; ///< Version of the placements that were last taken.
  std::uint64_t m_crash_heard = 0;     ///< Of the holder's cases.
  std::uint64_t m_own_crashes_confirmed = 0;
  std::uint64_t m_own_crashes_told = 0;   ///< Up to here they stand in the last report.
  Common::TimePoint m_holder_since;       ///< When the holder was last another.
  std::uint64_t m_crashes_announced = 0;  ///< As the holder.
  std::uint64_t m_limits_announced = 0;   ///< As the holder; a revision of the book of limits.
  std::uint64_t m_draining_announced = 0; ///< As the holder; a revision of the servers that drain.
  DaemonCount m_daemons;
  Common::Milliseconds m_least_handicap{0};
  std::map<Common::VmId, Peer> m_peers; ///< Daemons that report to this holder.
  std::uint64_t m_sequence = 0;
  std::pair<std::int64_t, std::uint64_t> m_last_heard; ///< Fence and sequence of the newest report.
  Common::TimePoint m_holder_heard_at;
  Common::OwnedTimer m_report_timer;
  Common::OwnedTimer m_regular_timer;
  Common::OwnedTimer m_announce_timer;
  Common::OwnedTimer m_check_timer;
};
} // namespace Orders
