// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/Hub.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Mechanisms.h"
#include "Common/Random.h"
#include "Fleet/JoinPolicy.h"
#include "Orders/HelperPlan.h"
#include "Orders/MessageSize.h"
#include "Orders/UpdateWriter.h"
#include "Tunnels/Messages.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;

/// Interval of a daemon's regular reports and of the holder's announcements. It grows with the
/// number of daemons, so that the holder's work stays within its share of a CPU core.
constexpr Milliseconds MIN_INTERVAL{250};
constexpr Milliseconds MAX_INTERVAL{600};
constexpr Milliseconds INTERVAL_PER_DAEMON{6};
/// Delay before a change is sent, so that further changes go with it.
constexpr Milliseconds UPDATE_DELAY{4};
/// The holder's changes go to every daemon; the delay grows with the number of daemons.
constexpr Milliseconds MAX_PUSH_DELAY{60};
constexpr Milliseconds PUSH_DELAY_PER_DAEMON{1};
/// For this long a daemon waits for the holder to resend missing changes; then it reads them from
/// the platform.
constexpr Milliseconds GAP_TIMEOUT{700};
/// Fence, sequence, versions and lengths in an announcement.
constexpr std::size_t ANNOUNCEMENT_HEADER_BYTES = 500;
/// Placements get this fraction (1/N) of the space in an announcement.
constexpr std::size_t PLACEMENT_DIVISOR = 4;
/// Changes that are not confirmed for this long are sent again.
constexpr Milliseconds RESEND_AFTER{300};
/// A daemon that has sent no report for this long gets no more announcements.
constexpr Milliseconds PEER_TIMEOUT{2000};
/// The holder counts as unresponsive after this many intervals plus the slack. Then each daemon
/// reads from the platform itself; both together stay well below the 2 s in which a change has to
/// be in force.
constexpr int HOLDER_TIMEOUT_INTERVALS = 2;
constexpr Milliseconds HOLDER_TIMEOUT_SLACK{300};
/// The holder's copy of a table is used only if the platform's last response to the holder is not
/// older.
constexpr Milliseconds MAX_RESPONSE_AGE{900};
/// How long the platform may hold the holder's own long polls; less than `MAX_RESPONSE_AGE`.
constexpr Milliseconds HOLDER_POLL_WAIT{500};
constexpr Milliseconds FOLLOWER_POLL_WAIT{2500};
/// How long changes are batched between two calls: by the holder, whose orders follow each other as
/// soon as it reads the result of the previous one, and by daemons that call the platform because
/// they reach no holder. With 77 daemons and 89 servers this lowered the price of store calls from
/// 0.062 to 0.042 of worth.
constexpr Milliseconds HOLDER_BATCH_DELAY{25};
constexpr Milliseconds FOLLOWER_BATCH_DELAY{250};
constexpr Milliseconds CHECK_INTERVAL{100};
/// Interval at which a daemon reads whether its servers' entries are the newest ones, while
/// requests wait for that. It grows with the number of daemons, so that all together make a bounded
/// number of calls.
constexpr Milliseconds PROOF_INTERVAL_PER_DAEMON{10};
/// A call that has brought no proof is repeated after this time.
constexpr Milliseconds PROOF_RETRY_DELAY{300};
/// How often a daemon without tables checks whether it should read them itself.
constexpr Milliseconds JOIN_INTERVAL{20};
/// How long the holder waits for its tables to fill up before it hands over copies, and how often
/// it checks.
constexpr Milliseconds MAX_FILL_TIME{6000};
constexpr Milliseconds FILL_CHECK_INTERVAL{100};
/// Placements are discarded if no announcement arrived from the holder for this long.
constexpr Milliseconds PLACEMENT_VALID{2000};
constexpr int DATAGRAMS_PER_TURN = 64;
constexpr int ABDICATION_COPIES = 3;
/// Number of sent reports that are remembered to match the holder's echo; a few are sent in each
/// interval.
constexpr std::size_t MAX_SENT_REPORTS = 64;

void SetPlacements(HolderReport& report, PlacementUpdate update)
{
  report.placement_from = update.from;
  report.placement_to = update.to;
  report.placements = std::move(update.lines);
}
/// How often the holder informs the daemons of helpers.
constexpr Milliseconds HELPER_INTERVAL{2000};
/// The same while it changes which daemons can help.
constexpr Milliseconds CHANGED_HELPERS_INTERVAL{400};
} // namespace

ServerHash HashOf(const Gateway::InstanceId& instance)
{
  return static_cast<ServerHash>(Gateway::KeyOf(instance).Get());
}

RunHash HashOf(const Common::Incarnation& run)
{
  return static_cast<RunHash>(XXH3_64bits(run.Get().data(), run.Get().size()));
}

std::string WithReply(const std::string& common, const HolderReply& reply)
{
  // An empty list of replies is encoded as one byte, the last.
  return common.substr(0, common.size() - 1) + Daemons::Encode(std::vector<HolderReply>{reply});
}

Hub::Hub(HubSettings settings, Gateway::Dispatcher& dispatcher, OrderManager& order_manager)
    : m_settings(std::move(settings)),
      m_dispatcher(dispatcher),
      m_order_manager(order_manager),
      m_permits({m_settings.self, HashOf(m_settings.run)}, dispatcher,
                [this](const Http::Endpoint& peer, const Envelope& envelope) {
                  SendTo(peer, Daemons::Encode(envelope));
                }),
      m_members(m_settings.local,
                [this](const Http::Endpoint& peer, const std::string& bytes) {
                  SendTo(peer, bytes);
                }),
      m_origins({m_settings.local, Fleet::HashOf(m_settings.data_centre), HashOf(m_settings.run)},
                dispatcher, m_members,
                [this](const Http::Endpoint& peer, const std::string& bytes) {
                  SendTo(peer, bytes);
                }),
      m_handover(m_tables, [this](bool succeeded) {
        m_missed_updates = m_missed_updates || succeeded;
        ScheduleReport();
      })
{
  m_permits.SetPermission([this] {
    return m_own_lease && Common::Now() < m_own_lease_until;
  });
  m_dispatcher.OnProofAwaited([this] {
    ScheduleProof();
  });
  m_dispatcher.OnPermitDemand([this] {
    m_permits.SchedulePermitRequest();
    if (m_dispatcher.Limited().Registry().Revision() != m_limits_announced ||
        m_dispatcher.Brittle().Registry().Revision() != m_rejection_bounds_announced ||
        m_dispatcher.Draining().Revision() != m_draining_announced)
      ScheduleAnnouncement();
  });
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
  const Http::Endpoint listen = m_settings.listen.value_or(m_settings.local);
  const sockaddr_in address = listen.ToSockaddr();
  if (m_fd < 0 || bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    return {Common::FailureKind::Unavailable, listen.ToString() + ": " + std::strerror(errno)};
  m_watch = Common::Reactor::Get().Watch(m_fd, EPOLLIN, this);
  // Without the port the daemon works, but hands over no copies.
  if (const auto listening = m_handover.Listen(listen); !listening)
    Common::LogEvent(Common::LogLevel::Error, "handover-unavailable",
                     {{"reason", listening.Reason().detail}});
  m_members.OnChange([this] {
    m_origins.OnMembersChanged();
    ApplyMembers();
  });
  ApplyMembers();
  m_origins.Start();
  UpdateSharedBudgets();
  SetPollWaits();
  SendReport();
  CheckHolder();
  return Common::Done{};
}

void Hub::ApplyMembers()
{
  constexpr int PORT_BITS = 16;
  const auto key_of = [](const Http::Endpoint& daemon) {
    return (RateLimits::LocalPlaces::DaemonKey{daemon.address} << PORT_BITS) | daemon.port;
  };
  std::vector<RateLimits::LocalPlaces::DaemonKey> members;
  std::ranges::transform(m_members.Members().All(), std::back_inserter(members),
                         [&](const Fleet::ListedDaemon& daemon) {
                           return key_of(daemon.messages);
                         });
  const auto position = std::ranges::find(members, key_of(m_settings.local));
  const auto rank = position == members.end()
                        ? std::nullopt
                        : std::optional<std::size_t>(position - members.begin());
  m_dispatcher.SetDaemonRank(rank, members.size());
  m_dispatcher.Brittle().Places().SetMembers(key_of(m_settings.local), std::move(members));
}

void Hub::SetHolder(std::optional<Http::Endpoint> endpoint,
                    std::optional<LeaseAnnouncement> own_lease)
{
  const bool was_holder = m_own_lease.has_value();
  const bool new_tenure = m_own_lease && own_lease && m_own_lease->fence != own_lease->fence;
  const bool holder_changed =
      m_holder != endpoint || was_holder != own_lease.has_value() || new_tenure;
  m_holder = endpoint;
  m_own_lease = own_lease;
  if (own_lease)
    m_own_lease_until = Common::Now() + own_lease->left;
  if (!holder_changed)
    return;
  m_dispatcher.Parts().SetMayProbe(own_lease.has_value());
  m_peers.clear();
  m_handover_plan.Clear();
  // A new holder has received nothing of what this daemon observed.
  m_own_crashes_confirmed = 0;
  m_holder_since = Common::Now();
  m_members.SetHolder(endpoint);
  m_origins.SetHolder(endpoint);
  m_permits.SetHolder(endpoint, own_lease ? std::optional(own_lease->fence) : std::nullopt);
  m_allowances.Configure(m_dispatcher.Settings().usage_bound);
  m_allowances.BeginTenure(own_lease ? own_lease->fence : 0);
  SetPollWaits();
  for (const Fleet::TableAccess& table : m_tables)
  {
    if (Common::IsOn(Common::Mechanism::GatheredChanges))
      table.set_batch_delay(own_lease ? HOLDER_BATCH_DELAY : FOLLOWER_BATCH_DELAY);
    if (own_lease)
      table.set_relayed(false, Fleet::DirectReadReason::IsHolder);
  }
  ScheduleReport();
}

void Hub::SetPollWaits()
{
  const auto operator_table = static_cast<std::size_t>(SharedTable::Operator);
  for (std::size_t i = 0; i < m_tables.size(); ++i)
  {
    const auto usual = m_own_lease ? HOLDER_POLL_WAIT : FOLLOWER_POLL_WAIT;
    m_tables[i].set_wait(i == operator_table ? m_dispatcher.Keys().MaxWait(usual) : usual);
  }
}

Milliseconds Hub::RegularInterval() const
{
  return std::clamp(INTERVAL_PER_DAEMON * m_daemons.Get(), MIN_INTERVAL, MAX_INTERVAL);
}

bool Hub::HasHolderContact() const
{
  const auto limit = RegularInterval() * HOLDER_TIMEOUT_INTERVALS + HOLDER_TIMEOUT_SLACK;
  return !m_own_lease && Common::Now() - m_last_announcement_at < limit;
}

void Hub::ScheduleReport()
{
  if (m_report_timer.Running())
    return;
  m_report_timer.Start(UPDATE_DELAY, [this] {
    SendReport();
  });
}

void Hub::ScheduleProof()
{
  const auto servers = static_cast<std::size_t>(SharedTable::Servers);
  if (m_proof_timer.Running() || m_tables.size() <= servers)
    return;
  const auto next_at = m_proof_requested_at + PROOF_INTERVAL_PER_DAEMON * m_daemons.Get();
  const auto delay = std::chrono::ceil<Milliseconds>(next_at - Common::Now());
  m_proof_timer.Start(std::max(delay, Milliseconds(0)), [this, servers] {
    m_proof_requested_at = Common::Now();
    m_tables[servers].prove();
    m_proof_retry_timer.Start(PROOF_RETRY_DELAY, [this] {
      if (m_dispatcher.AwaitsProof())
        ScheduleProof();
    });
  });
}

void Hub::ScheduleAnnouncement()
{
  if (!m_own_lease || m_announce_timer.Running())
    return;
  m_announce_timer.Start(PushDelay(), [this] {
    SendAnnouncement(false);
  });
}

Milliseconds Hub::PushDelay() const
{
  return std::clamp(PUSH_DELAY_PER_DAEMON * m_daemons.Get(), UPDATE_DELAY, MAX_PUSH_DELAY);
}

DaemonReport Hub::MakeReport()
{
  DaemonReport report;
  report.vm = m_settings.self;
  report.run = m_settings.run;
  report.sequence = ++m_sequence;
  for (const Gateway::ArtifactDemand& demand : m_dispatcher.TakeDemand())
    report.demand.push_back({demand.key.pool, demand.key.artifact, demand.waiting, demand.priority,
                             demand.oldest_wait.count(), demand.arrivals, demand.key.constraint});
  const auto now = Common::Now();
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    if (server->HasLastingBackoff(now))
      report.backing_off.push_back(HashOf(instance));
    if (server->InFlight() == 0)
      continue;
    LoadLine line;
    line.instance = instance;
    line.in_flight = server->InFlight();
    for (const auto& [model, count] : server->InFlightByModel())
      line.by_model[model] = count;
    report.loads.push_back(std::move(line));
  }
  std::ranges::transform(m_tables, std::back_inserter(report.table_versions),
                         [](const Fleet::TableAccess& table) {
                           return table.version();
                         });
  report.placement_version = m_placement_applied;
  report.missed_updates = std::exchange(m_missed_updates, false);
  report.handicap_ms = m_settings.handicap.count();
  report.place = Fleet::HashOf(m_settings.data_centre);
  report.reaches_no_server = m_dispatcher.Paths().ReachesNoServer();
  report.grants_fence = m_dispatcher.Allowances().Tenure();
  report.allowances = m_dispatcher.Allowances().Report(Common::Now());
  auto seen = m_dispatcher.CrashCases().OwnChangesSince(m_own_crashes_confirmed, CRASH_BYTES,
                                                        Common::Now());
  report.crashes = std::move(seen.lines);
  m_own_crashes_reported = seen.to;
  report.crash_revision = m_crash_applied;
  TruncateToDatagram(report);
  return report;
}

void Hub::SendReport()
{
  m_regular_timer.Start(RegularInterval(), [this] {
    SendReport();
  });
  if (!m_holder && !m_own_lease)
    return;
  const DaemonReport report = MakeReport();
  if (m_own_lease)
  {
    const auto now = Common::Now();
    NoteMember(report);
    m_order_manager.OnDaemonReport(report, now);
    m_order_manager.SchedulePlan();
    m_allowances.ApplyReport({m_settings.self, HashOf(m_settings.run), report.grants_fence},
                             report.allowances, now);
    SendAnnouncement(true);
    return;
  }
  Envelope envelope;
  envelope.from_daemon.push_back(report);
  m_sent_reports.push_back({report.sequence, Common::Now(), m_own_crashes_reported});
  if (m_sent_reports.size() > MAX_SENT_REPORTS)
    m_sent_reports.pop_front();
  SendTo(*m_holder, Daemons::Encode(envelope));
}

void Hub::NoteMember(const DaemonReport& report)
{
  const bool has_tables = !report.table_versions.empty() &&
                          std::ranges::all_of(report.table_versions, [](std::int64_t version) {
                            return version > 0;
                          });
  m_handover_plan.Update(report.vm, {report.place, has_tables, report.handicap_ms == 0});
  if (!m_handover_plan.AnyWaiting() || m_handover_timer.Running())
    return;
  m_handover_timer.Start(UPDATE_DELAY, [this] {
    PlanHandovers();
  });
}

bool Hub::MayHandOver(Common::TimePoint now)
{
  const bool is_settled = std::ranges::all_of(m_tables, [](const Fleet::TableAccess& table) {
    return table.is_settled();
  });
  if (is_settled)
    m_filling_since.reset();
  else if (!m_filling_since)
    m_filling_since = now;
  return is_settled || now - *m_filling_since > MAX_FILL_TIME;
}

void Hub::PlanHandovers()
{
  if (!m_own_lease || !m_handover_plan.AnyWaiting())
    return;
  const auto now = Common::Now();
  if (!MayHandOver(now))
  {
    m_handover_timer.Start(FILL_CHECK_INTERVAL, [this] {
      PlanHandovers();
    });
    return;
  }
  for (const Common::VmId& vm : m_handover_plan.Assign(now))
  {
    const auto peer = m_peers.find(vm);
    if (peer == m_peers.end())
      continue;
    Envelope envelope;
    envelope.holder_replies.push_back(ReplyTo(vm, peer->second, now));
    SendTo(peer->second.endpoint, Daemons::Encode(envelope));
  }
}

void Hub::Join()
{
  m_join_began = Common::Now();
  m_join_spread = Milliseconds(Common::SharedRandom()() % Fleet::MAX_JOIN_SPREAD.count());
  ContinueJoin();
}

void Hub::ContinueJoin()
{
  if (m_handover.HasAllTables())
    return;
  const auto now = Common::Now();
  const auto track = [now](std::optional<Common::TimePoint>& since, bool is_true) {
    since = is_true ? since.value_or(now) : std::optional<Common::TimePoint>();
    return since ? std::optional(std::chrono::floor<Milliseconds>(now - *since)) : std::nullopt;
  };
  Fleet::JoinState state;
  state.since_start = std::chrono::floor<Milliseconds>(now - m_join_began);
  state.spread = m_join_spread;
  state.holds_lease = m_own_lease.has_value();
  state.holder_named_for = track(m_holder_named_since, m_holder.has_value());
  const bool had_contact = m_last_announcement_at != Common::TimePoint();
  state.holder_contact_for = track(m_contact_since, HasHolderContact());
  if (had_contact && !state.holder_contact_for)
    state.holder_contact_lost_for = std::chrono::floor<Milliseconds>(now - m_last_announcement_at);
  state.copies_pending = m_copies_pending;
  state.is_receiving = m_handover.IsReceiving();
  if (!Fleet::ShouldReadStore(state))
  {
    m_join_timer.Start(JOIN_INTERVAL, [this] {
      ContinueJoin();
    });
    return;
  }
  for (const Fleet::TableAccess& table : m_tables)
    if (table.version() == 0)
      table.read();
}

void Hub::UpdateSharedBudgets()
{
  m_dispatcher.SetDaemons(m_daemons.ForSharedLimits(Common::Now()));
}

void Hub::CheckHolder()
{
  m_check_timer.Start(CHECK_INTERVAL, [this] {
    CheckHolder();
  });
  UpdateSharedBudgets();
  m_origins.SetContact(m_own_lease || HasHolderContact());
  if (m_own_lease)
    return;
  m_members.Tick(Common::Now());
  if (!HasHolderContact())
    for (const Fleet::TableAccess& table : m_tables)
      table.set_relayed(false, Fleet::DirectReadReason::NoHolder);
  if (Common::Now() - m_last_announcement_at < PLACEMENT_VALID)
    return;
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    server->SetRemoteInFlight(0);
    server->ClearPlacement();
  }
}

Hub::UpdatePosition Hub::PositionOf(Peer& peer, Common::TimePoint now) const
{
  peer.versions.resize(m_tables.size());
  peer.sent.resize(m_tables.size());
  if (now - peer.sent_at > RESEND_AFTER)
  {
    // Changes that have not been confirmed by now are assumed to be lost.
    peer.sent = peer.versions;
    peer.placement_sent = peer.placement_version;
    peer.crash_sent = peer.crash_revision;
    peer.sent_at = now;
  }
  UpdatePosition position{std::max(peer.placement_version, peer.placement_sent),
                          {},
                          std::max(peer.crash_revision, peer.crash_sent)};
  // A daemon without a copy cannot apply changes. It gets none, however many announcements it was
  // sent: while a fleet starts, the entries of all servers would fill the holder's link.
  std::ranges::transform(peer.versions, peer.sent, std::back_inserter(position.tables),
                         [](std::int64_t confirmed, std::int64_t sent) {
                           return confirmed == 0 ? 0 : std::max(confirmed, sent);
                         });
  return position;
}

Hub::Announcement Hub::MakeAnnouncement(HolderReport report, const UpdatePosition& position) const
{
  UpdateSizeLimits limits;
  limits.bytes =
      MAX_DATAGRAM - std::min(MAX_DATAGRAM, report.state.size() + ANNOUNCEMENT_HEADER_BYTES);
  const std::size_t placement_bytes = limits.bytes / PLACEMENT_DIVISOR;
  SetPlacements(report, m_placements.Since(position.placements, placement_bytes));
  limits.bytes -= placement_bytes;
  auto cases =
      m_dispatcher.CrashCases().SharedChangesSince(position.crashes, CRASH_BYTES, Common::Now());
  report.crash_from = cases.from;
  report.crash_to = cases.to;
  report.crashes = std::move(cases.lines);
  limits.bytes -= std::min(limits.bytes, CRASH_BYTES);
  limits.change_bytes =
      std::min(limits.bytes, MaxRelayedChangeBytes(m_settings.link_mbps, m_peers.size()));
  report.table_updates = WriteUpdate(m_tables, position.tables, limits);
  Announcement announcement;
  announcement.position_after.placements = report.placement_to;
  announcement.position_after.crashes = report.crash_to;
  std::ranges::transform(report.table_updates,
                         std::back_inserter(announcement.position_after.tables), &TableUpdate::to);
  announcement.has_updates =
      !report.placements.empty() || !report.crashes.empty() ||
      std::ranges::any_of(report.table_updates, [](const TableUpdate& table) {
        return !table.rows.empty() || table.omitted;
      });
  Envelope envelope;
  envelope.from_holder.push_back(std::move(report));
  announcement.bytes = Daemons::Encode(envelope);
  return announcement;
}

void Hub::SendAnnouncement(bool regular)
{
  if (!m_own_lease)
    return;
  const auto now = Common::Now();
  std::erase_if(m_peers, [&](const auto& entry) {
    const bool is_gone = now - entry.second.last_report_at > PEER_TIMEOUT;
    if (is_gone)
      m_handover_plan.Remove(entry.first);
    return is_gone;
  });
  if (regular)
  {
    PlanHandovers();
    const auto known = KnownDaemons(now);
    SendHelpers(known, now);
    m_members.Announce(known, m_own_lease->fence, now);
  }
  if (const auto* accounts = GrantableAccounts(now); accounts != nullptr && regular)
    m_allowances.Allocate(*accounts, now);
  m_placements.Update(m_order_manager.Placements());
  m_dispatcher.LiftBlocksOfBystanders(now);
  m_crashes_announced = m_dispatcher.CrashCases().Revision();
  m_daemons.Update(static_cast<int>(m_peers.size()) + 1, now);
  HolderState state;
  state.vm = m_settings.self;
  state.lease_version = m_own_lease->version;
  state.lease_left_ms = m_own_lease->left.count();
  state.daemons = m_daemons.Get();
  state.min_handicap_ms = MinHandicapOfPeers().count();
  state.copies_pending = m_handover_plan.AnyWaiting() && !MayHandOver(now);
  const std::uint64_t limits_revision = m_dispatcher.Limited().Registry().Revision();
  if (regular || std::exchange(m_limits_announced, limits_revision) != limits_revision)
    state.limits.push_back(m_permits.MakeLimitUpdate(now));
  const std::uint64_t bounds_revision = m_dispatcher.Brittle().Registry().Revision();
  if (regular || std::exchange(m_rejection_bounds_announced, bounds_revision) != bounds_revision)
    state.rejection_bounds.push_back(m_permits.MakeRejectionBoundUpdate(now));
  const std::uint64_t draining_revision = m_dispatcher.Draining().Revision();
  if (regular || std::exchange(m_draining_announced, draining_revision) != draining_revision)
    state.draining = m_permits.NextDrainingServers(now);
  state.regular = regular;
  if (regular)
    for (const auto& [instance, load] : m_order_manager.InFlightByServer().All())
      if (load.in_flight > 0)
        state.in_flight[HashOf(instance)] += load.in_flight;
  HolderReport report;
  report.fence = m_own_lease->fence;
  report.sequence = ++m_sequence;
  report.state = Daemons::Encode(state);
  std::map<UpdatePosition, Announcement> announcements;
  for (auto& [vm, peer] : m_peers)
  {
    const UpdatePosition position = PositionOf(peer, now);
    auto found = announcements.find(position);
    if (found == announcements.end())
      found = announcements.emplace(position, MakeAnnouncement(report, position)).first;
    const Announcement& announcement = found->second;
    peer.placement_sent = announcement.position_after.placements;
    peer.sent = announcement.position_after.tables;
    if (announcement.has_updates)
      peer.sent_at = now;
    if (announcement.has_updates || regular)
    {
      peer.crash_sent = announcement.position_after.crashes;
      SendTo(peer.endpoint, WithReply(announcement.bytes, ReplyTo(vm, peer, now)));
    }
  }
  SetPlacements(report, m_placements.Since(m_placement_applied));
  OnHolderReport(report, m_settings.local, std::nullopt);
  m_dispatcher.TakeGrants(m_own_lease->fence, m_allowances.GrantsFor(m_settings.self));
}

const Accounts::Directory* Hub::GrantableAccounts(Common::TimePoint now) const
{
  const auto& configuration = m_dispatcher.CurrentConfiguration();
  const bool may_divide = m_own_lease && now < m_own_lease_until && configuration;
  return may_divide ? configuration->accounts.get() : nullptr;
}

void Hub::OnAllowanceReport(const DaemonReport& report, const Peer& peer, Common::TimePoint now)
{
  const Accounts::Directory* accounts = GrantableAccounts(now);
  if (accounts == nullptr)
    return;
  m_allowances.ApplyReport({report.vm, peer.run, report.grants_fence}, report.allowances, now);
  const bool any_waits = std::ranges::any_of(report.allowances, [](const auto& line) {
    return line.wanted > 0;
  });
  if (!any_waits)
    return;
  m_allowances.AllocateWanted(*accounts, report.vm, now);
  Envelope envelope;
  envelope.holder_replies.push_back(ReplyTo(report.vm, peer, now));
  SendTo(peer.endpoint, Daemons::Encode(envelope));
}

void Hub::OnReplies(const std::vector<HolderReply>& replies)
{
  const RunHash own_run = HashOf(m_settings.run);
  for (const HolderReply& reply : replies)
    if (!m_own_lease && reply.run == own_run && reply.fence >= m_last_announcement.first)
    {
      OnReportConfirmed(reply.sequence);
      m_dispatcher.TakeGrants(reply.fence, reply.grants);
      for (const PeerAddress& source : reply.copy_sources)
        m_handover.Receive({source.address, source.port});
    }
}

void Hub::OnReportConfirmed(std::uint64_t sequence)
{
  const auto sent = std::ranges::find(m_sent_reports, sequence, &SentReport::sequence);
  if (sent != m_sent_reports.end() && sent->at > m_holder_since)
    m_own_crashes_confirmed = std::max(m_own_crashes_confirmed, sent->own_crash_revision);
}

HolderReply Hub::ReplyTo(const Common::VmId& vm, const Peer& peer, Common::TimePoint now) const
{
  HolderReply reply;
  reply.fence = m_own_lease->fence;
  reply.grants = m_allowances.GrantsFor(vm);
  reply.run = peer.run;
  reply.sequence = peer.sequence;
  reply.held_ms = std::chrono::floor<Milliseconds>(now - peer.last_report_at).count();
  if (const auto source = m_handover_plan.SourceOf(vm))
  {
    const auto found = m_peers.find(*source);
    const Http::Endpoint& from = found == m_peers.end() ? m_settings.local : found->second.endpoint;
    reply.copy_sources.push_back({from.address, from.port});
  }
  return reply;
}

std::optional<Common::TimePoint>
Hub::EarliestWriteTime(const std::vector<HolderReply>& replies) const
{
  const RunHash own_run = HashOf(m_settings.run);
  for (const HolderReply& reply : replies)
  {
    const auto sent = std::ranges::find(m_sent_reports, reply.sequence, &SentReport::sequence);
    if (reply.run == own_run && reply.held_ms >= 0 && sent != m_sent_reports.end())
      return sent->at + Milliseconds(reply.held_ms);
  }
  return std::nullopt;
}

Milliseconds Hub::MinHandicapOfPeers() const
{
  const auto fittest = std::ranges::min_element(m_peers, {}, [](const auto& entry) {
    return entry.second.handicap;
  });
  return fittest == m_peers.end() ? Milliseconds(0) : fittest->second.handicap;
}

void Hub::AnnounceAbdication(const LeaseAnnouncement& lease)
{
  HolderState state;
  state.vm = m_settings.self;
  state.lease_version = lease.version;
  state.daemons = m_daemons.Get();
  state.min_handicap_ms = MinHandicapOfPeers().count();
  state.abdicated = true;
  Envelope envelope;
  HolderReport& report = envelope.from_holder.emplace_back();
  report.fence = lease.fence;
  report.state = Daemons::Encode(state);
  for (int copy = 0; copy < ABDICATION_COPIES; ++copy)
    for (const auto& [vm, peer] : m_peers)
    {
      report.sequence = ++m_sequence;
      SendTo(peer.endpoint, Daemons::Encode(envelope));
    }
}

void Hub::SendTo(const Http::Endpoint& peer, const std::string& bytes)
{
  if (bytes.size() > MAX_DATAGRAM)
  {
    Common::LogEvent(Common::LogLevel::Error, "report-too-long", {{"bytes", bytes.size()}});
    return;
  }
  const sockaddr_in address = peer.ToSockaddr();
  ++m_messages_sent;
  // The next report replaces one that could not be sent.
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
    OnDatagram({buffer.data(), static_cast<std::size_t>(count)},
               Http::Endpoint::FromSockaddr(from));
  }
}

std::set<Http::Endpoint> Hub::DaemonsWithoutServers() const
{
  std::set<Http::Endpoint> unfit;
  if (m_dispatcher.Paths().ReachesNoServer())
    unfit.insert(m_settings.local);
  for (const auto& [vm, peer] : m_peers)
    if (peer.reaches_no_server)
      unfit.insert(peer.endpoint);
  return unfit;
}

bool Hub::HasPeerWithServers() const
{
  return std::ranges::any_of(m_peers, [](const auto& entry) {
    return !entry.second.reaches_no_server;
  });
}

void Hub::SendHelpers(std::span<const Fleet::ListedDaemon> known, Common::TimePoint now)
{
  const auto unfit = DaemonsWithoutServers();
  const auto interval = unfit == m_unfit_helpers ? HELPER_INTERVAL : CHANGED_HELPERS_INTERVAL;
  // Until all have reported, their last plan is better informed.
  const bool awaits_reports =
      known.size() > m_peers.size() + 1 && now - m_holder_since < MAX_INTERVAL;
  if (awaits_reports || now - m_helpers_sent_at < interval)
    return;
  m_helpers_sent_at = now;
  m_unfit_helpers = unfit;
  DaemonsByPlace daemons;
  for (const Fleet::ListedDaemon& daemon : known)
    daemons[daemon.place].push_back(daemon.messages);
  for (const auto& [daemon, helpers] : PlanHelpers(std::move(daemons), unfit))
  {
    Notice notice;
    notice.fence = m_own_lease->fence;
    std::ranges::transform(helpers, std::back_inserter(notice.helpers),
                           [](const Http::Endpoint& messages) {
                             const Http::Endpoint tunnels = Tunnels::TunnelEndpoint(messages);
                             return PeerAddress{tunnels.address, tunnels.port};
                           });
    if (daemon == m_settings.local)
      SetHelpers(notice.helpers);
    else
      SendTo(daemon, Daemons::Encode(notice));
  }
}

std::vector<Fleet::ListedDaemon> Hub::KnownDaemons(Common::TimePoint now) const
{
  std::vector<Fleet::ListedDaemon> daemons;
  daemons.push_back(
      {m_settings.local, Fleet::HashOf(m_settings.data_centre), HashOf(m_settings.run)});
  for (const auto& [vm, peer] : m_peers)
    daemons.push_back({peer.endpoint, peer.place, peer.run});
  // Daemons that have not reported to a new holder yet are not gone.
  if (now - m_holder_since < PEER_TIMEOUT)
    for (const Fleet::ListedDaemon& known : m_members.Members().All())
      if (std::ranges::find(daemons, known.messages, &Fleet::ListedDaemon::messages) ==
          daemons.end())
        daemons.push_back(known);
  return daemons;
}

void Hub::OnNotice(std::string_view bytes, const Http::Endpoint& from)
{
  const auto notice = Daemons::Decode<Notice>(bytes);
  if (!notice || notice->marker != Notice::MARKER)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", "not a notice"}});
    return;
  }
  const bool is_current = !m_own_lease && notice->fence >= m_last_announcement.first;
  if (!notice->helpers.empty() && is_current)
    SetHelpers(notice->helpers);
}

void Hub::SetHelpers(const std::vector<PeerAddress>& helpers)
{
  std::vector<Http::Endpoint> endpoints;
  std::ranges::transform(helpers, std::back_inserter(endpoints), [](const PeerAddress& helper) {
    return Http::Endpoint{helper.address, helper.port};
  });
  m_dispatcher.Paths().SetHelpers(std::move(endpoints));
}

void Hub::OnDatagram(std::string_view bytes, const Http::Endpoint& from)
{
  constexpr char FIRST_BYTE_OF_NOTICE = '\xff';
  if (bytes.starts_with(FIRST_BYTE_OF_NOTICE))
  {
    OnNotice(bytes, from);
    return;
  }
  if (bytes.starts_with(static_cast<char>(OriginMessage::MARKER)))
  {
    if (m_origins.OnMessage(bytes, from))
      m_members.OnContact(from);
    return;
  }
  if (bytes.starts_with(static_cast<char>(MemberMessage::MARKER)))
  {
    m_members.OnMessage(bytes, from, [this](std::int64_t fence) {
      return !m_own_lease && fence >= m_last_announcement.first;
    });
    return;
  }
  const auto envelope = Daemons::Decode<Envelope>(bytes);
  if (!envelope)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", envelope.Reason().detail}});
    return;
  }
  m_members.OnContact(from);
  const auto now = Common::Now();
  for (const DaemonReport& report : envelope->from_daemon)
  {
    if (!m_own_lease)
      continue;
    const bool is_new = !m_peers.contains(report.vm);
    Peer& peer = m_peers[report.vm];
    peer.endpoint = from;
    peer.last_report_at = now;
    peer.run = HashOf(report.run);
    peer.sequence = report.sequence;
    peer.versions = report.table_versions;
    peer.placement_version = report.placement_version;
    peer.crash_revision = report.crash_revision;
    peer.handicap = Milliseconds(report.handicap_ms);
    peer.place = report.place;
    peer.reaches_no_server = report.reaches_no_server;
    if (report.missed_updates)
    {
      peer.sent = peer.versions;
      peer.placement_sent = peer.placement_version;
      peer.crash_sent = peer.crash_revision;
      ScheduleAnnouncement();
    }
    NoteMember(report);
    m_dispatcher.MergeCrashCases(report.crashes);
    if (m_dispatcher.CrashCases().Revision() != m_crashes_announced)
      ScheduleAnnouncement();
    m_order_manager.OnDaemonReport(report, now);
    OnAllowanceReport(report, peer, now);
    const bool anyone_waits = std::ranges::any_of(report.demand, [](const DemandLine& line) {
      return line.waiting > 0;
    });
    if (anyone_waits)
      m_order_manager.SchedulePlan();
    if (is_new)
      ScheduleAnnouncement();
  }
  for (const PermitRequest& request : envelope->permit_requests)
    m_permits.OnPermitRequest(request, from);
  for (const PermitReply& reply : envelope->permit_replies)
    m_permits.OnReply(reply);
  for (const HolderReport& report : envelope->from_holder)
    if (!m_own_lease)
      OnHolderReport(report, from, EarliestWriteTime(envelope->holder_replies));
  OnReplies(envelope->holder_replies);
}

void Hub::OnHolderReport(const HolderReport& report, const Http::Endpoint& from,
                         std::optional<Common::TimePoint> written_after)
{
  const std::pair announcement_id(report.fence, report.sequence);
  if (announcement_id <= m_last_announcement)
    return;
  const auto state = Daemons::Decode<HolderState>(report.state);
  if (!state)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", state.Reason().detail}});
    return;
  }
  if (report.fence != m_last_announcement.first)
  {
    m_placement_applied = 0;
    m_crash_applied = 0;
  }
  m_last_announcement = announcement_id;
  m_min_handicap = Milliseconds(state->min_handicap_ms);
  if (state->abdicated)
  {
    // From now on this daemon reads from the platform itself, until an announcement of another
    // holder arrives.
    m_last_announcement_at = {};
    if (m_on_lease_announcement)
      m_on_lease_announcement({report.fence, state->lease_version, Milliseconds(0)}, state->vm,
                              from);
    return;
  }
  m_last_announcement_at = Common::Now();
  m_daemons.Update(state->daemons, m_last_announcement_at);
  m_copies_pending = state->copies_pending;
  m_dispatcher.Limited().Permits().NoteHolderContact(m_last_announcement_at);
  for (const RateLimits::LimitUpdate& update : state->limits)
    m_permits.ApplyLimitUpdate(report.fence, update);
  for (const RateLimits::LimitUpdate& update : state->rejection_bounds)
    m_permits.ApplyRejectionBoundUpdate(report.fence, update);
  m_dispatcher.ApplyDrainUpdate(report.fence, state->draining);
  if (m_on_lease_announcement)
    m_on_lease_announcement(
        {report.fence, state->lease_version, Milliseconds(state->lease_left_ms)}, state->vm, from);
  // The callback may find that this daemon has acquired the lease meanwhile. The announcement is
  // then a late one of the former holder; a holder reads the tables itself.
  if (m_own_lease)
    return;
  ApplyTableUpdates(report.table_updates, written_after);
  ApplyPlacements(report);
  ApplyCrashes(report);
  if (state->regular)
    m_dispatcher.GetEvenLoad().NoteTotals(Common::Now());
  if (state->regular)
    for (const auto& [instance, server] : m_dispatcher.Servers().All())
    {
      const auto total = state->in_flight.find(HashOf(instance));
      const int elsewhere =
          total == state->in_flight.end() ? 0 : total->second - server->InFlight();
      if (Common::IsOn(Common::Mechanism::RemoteLoad))
        server->SetRemoteInFlight(std::max(elsewhere, 0));
    }
  m_dispatcher.ScheduleDispatch();
}

void Hub::ApplyPlacements(const HolderReport& report)
{
  if (m_placement_applied < report.placement_from)
  {
    m_missed_updates = true;
    ScheduleReport();
    return;
  }
  for (const PlacementLine& line : report.placements)
    if (const auto server = m_dispatcher.Servers().Find(line.instance))
      server->SetPlacement({line.adapters.begin(), line.adapters.end()},
                           {line.unloading.begin(), line.unloading.end()},
                           {line.loading.begin(), line.loading.end()});
  m_placement_applied = std::max(m_placement_applied, report.placement_to);
}

void Hub::ApplyCrashes(const HolderReport& report)
{
  if (m_crash_applied < report.crash_from)
  {
    m_missed_updates = true;
    ScheduleReport();
    return;
  }
  m_dispatcher.MergeCrashCases(report.crashes);
  m_crash_applied = std::max(m_crash_applied, report.crash_to);
}

void Hub::ApplyTableUpdates(const std::vector<TableUpdate>& updates,
                            std::optional<Common::TimePoint> written_after)
{
  const auto now = Common::Now();
  m_update_states.resize(m_tables.size());
  for (std::size_t i = 0; i < std::min(updates.size(), m_tables.size()); ++i)
  {
    // Changes are useless before there is a copy to apply them to.
    if (m_tables[i].version() == 0)
      continue;
    const bool current = updates[i].response_age_ms < MAX_RESPONSE_AGE.count();
    const bool complete =
        m_tables[i].apply_relayed(updates[i].from, updates[i].to, updates[i].rows);
    if (complete && written_after && updates[i].proof_age_ms >= 0)
      m_tables[i].apply_relayed_proof(*written_after - Milliseconds(updates[i].proof_age_ms));
    if (current && complete && Common::IsOn(Common::Mechanism::RelayedTables))
    {
      m_update_states[i].complete_at = now;
      m_tables[i].set_relayed(true, Fleet::DirectReadReason::NoHolder);
      continue;
    }
    if (!complete && !std::exchange(m_missed_updates, true))
      ScheduleReport();
    // Rows that will never be relayed are read from the platform at once: waiting for them delayed
    // large rows by 0.7 s.
    const bool missing = updates[i].omitted || now - m_update_states[i].complete_at > GAP_TIMEOUT;
    if (!current || missing)
      m_tables[i].set_relayed(false, current ? Fleet::DirectReadReason::RowsLeftOut
                                             : Fleet::DirectReadReason::StaleCopy);
  }
}
} // namespace Orders
