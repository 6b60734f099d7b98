// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "Common/Log.h"
#include "Common/Mechanisms.h"
#include "Common/Random.h"
#include "Decisions/WaitForLoad.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// How often waiting requests are retried: a server's backoff or ejection ends without an event.
constexpr Milliseconds DISPATCH_INTERVAL{40};
/// Retry-After while this VM reaches no server: the caller's next connection goes to another VM.
constexpr Milliseconds CUT_OFF_RETRY_AFTER{100};
/// Accounts that get their own gauges, the largest first; the others are summed up.
constexpr std::size_t MAX_ACCOUNT_SERIES = 20;
/// How often requests that wait for units of their account's limit are retried.
constexpr Milliseconds ALLOWANCE_RETRY_INTERVAL{50};
/// Concurrent requests per slot of a server that runs no models: some queue at the server, so
/// that a slot that becomes free is used immediately.
constexpr int SLOTS_FACTOR_WITHOUT_MODELS = 2;

/// The sort key of waiting requests; the lowest is served first.
auto SortKeyOf(const Relay& relay)
{
  return std::tuple(relay.Priority(), relay.MatchedRoute().priority, relay.ArrivedAt());
}
} // namespace

Dispatcher::Dispatcher(DispatcherSettings settings)
{
  m_budget.SetRounding(std::uniform_real_distribution<>()(Common::SharedRandom()));
  Configure(std::move(settings));
  m_servers.OnChange([this](const ServerPtr& server) {
    m_versions.Note(server->Entry().pool, server->Entry().version, Common::Now());
    m_limited.RefreshServer(server);
    m_brittle.Refresh();
    MarkDrainingServers();
    ScheduleDispatch();
  });
  m_limited.OnChange([this] {
    OnLimitChange();
  });
  m_brittle.OnChange([this](const ServerPtr& server) {
    ApplyRejectionBound(server);
    OnLimitChange();
  });
  m_crash_detector.OnCrashed(
      [this](const InstanceId& instance, Common::TimePoint at, const auto& suspects) {
        OnServerCrashed(instance, at, suspects);
      });
  m_crash_detector.OnCheckDone([this] {
    ScheduleDispatch();
  });
  ConnectPaths();
  ConnectLateReplicas();
}

void Dispatcher::Configure(DispatcherSettings settings)
{
  m_settings = std::move(settings);
  m_budget.Configure(m_settings.budget);
  m_keys.Configure(m_settings.key_limit);
  m_allowances.Configure(m_settings.usage_bound);
  m_servers.SetDrainGrace(m_settings.drain_grace);
  m_even_load.SetSelf(m_settings.self, m_settings.data_centre);
}

void Dispatcher::SetConfiguration(std::shared_ptr<const Configuration> configuration)
{
  if (m_configuration && configuration->version <= m_configuration->version)
    return;
  Common::LogEvent(Common::LogLevel::Info, "configuration",
                   {{"version", configuration->version},
                    {"before", m_configuration ? m_configuration->version : 0},
                    {"routes", configuration->routes.size()}});
  for (const std::string& warning : configuration->Warnings())
    Common::LogEvent(Common::LogLevel::Warning, "configuration-warning",
                     {{"version", configuration->version}, {"warning", warning}});
  m_configuration = std::move(configuration);
  m_limits = m_configuration->limits;
  m_configuration_error.clear();
  m_allowances.SetAccounts(m_configuration->accounts);
  ConfigureColdRates();
  m_even_load.RetainPools(m_configuration->pools);
  m_late_replicas.Configure(*m_configuration);
  m_configured_at = Common::Now();
  m_route_history.Note(m_configuration, m_configured_at);
  ScheduleDispatch();
}

void Dispatcher::SetDaemons(int daemons)
{
  m_daemons = std::max(daemons, 1);
  m_budget.SetDaemons(daemons);
  m_allowances.SetDaemons(daemons);
  m_limited.Permits().SetDaemons(daemons);
  m_brittle.Places().SetDaemons(daemons);
  m_even_load.SetDaemonCount(static_cast<std::size_t>(m_daemons));
}

void Dispatcher::AcceptConnection(int fd)
{
  const auto connection = Http::ServerConnection::Adopt(fd, *this);
  m_connections.emplace(connection.get(), connection);
  connection->OnFinished([this](Http::ServerConnection* finished) {
    m_connections.erase(finished);
  });
}

void Dispatcher::OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                           Http::ReceivedRequest request)
{
  if (m_refuses_requests)
  {
    connection->Respond(503, Http::ReasonPhrase(503), {{"Retry-After", "0.1"}}, "");
    return;
  }
  auto relay = std::make_shared<Relay>(*this, connection, std::move(request));
  m_relays.emplace(relay.get(), relay);
  if (!m_silence_timer.Running())
    CheckSilentPaths();
  relay->Start();
}

void Dispatcher::OnRelayFinished(Relay* relay)
{
  const bool any_waiting = std::ranges::any_of(m_relays, [](const auto& entry) {
    return entry.second->IsWaiting();
  });
  m_response_memory.Set(relay, 0);
  m_relays.erase(relay);
  if (any_waiting)
    ScheduleDispatch();
  ReportPlaces();
}

void Dispatcher::NoteBufferedBytes(Relay* relay, std::size_t bytes)
{
  m_response_memory.Set(relay, bytes);
  while (m_response_memory.IsExceeded())
  {
    Relay* largest = m_response_memory.Largest();
    m_response_memory.Set(largest, 0);
    largest->FailOversizedResponse("responses need too much memory, and this one most of it");
  }
}

void Dispatcher::NoteArrival(const Relay& relay)
{
  m_budget.NoteRequest(relay.SelectedPool(), Common::Now());
  if (relay.RequestedArtifact().model.Empty())
    return;
  if (auto key = DemandOf(relay))
    ++m_arrivals[*std::move(key)];
}

std::int64_t Dispatcher::ConcurrencyLimitFor(const Server& server) const
{
  if (server.RejectionBound())
    return m_brittle.MaxRequests(server, Common::Now());
  const auto pool = m_configuration->pools.find(server.Entry().pool);
  const bool runs_models = pool != m_configuration->pools.end() && pool->second.model_server;
  const int factor = runs_models ? 1 : SLOTS_FACTOR_WITHOUT_MODELS;
  // The totals are too old to tell how much room the other daemons leave.
  if (!server.Limit() && m_even_load.IsActive(server.Entry().pool))
    return server.Entry().slots * factor;
  return server.Entry().slots * factor - server.RemoteInFlight();
}

bool Dispatcher::MayServe(const Relay& relay, const Server& server, Common::TimePoint now) const
{
  return server.Entry().pool == relay.SelectedPool() &&
         server.MayServe(relay.RequestedArtifact(), now) &&
         relay.MaySendTo(server.Entry().instance) && MayRunAt(relay, server) &&
         m_paths.HasPath(server, now);
}

bool Dispatcher::IsEligible(const Relay& relay, const Server& server, Common::TimePoint now) const
{
  return server.IsAvailable(now) && MayServe(relay, server, now);
}

std::vector<ServerPtr> Dispatcher::EjectedServersFor(const Relay& relay, Common::TimePoint now)
{
  std::vector<ServerPtr> servers;
  // Only the first send of an attempt: repeats would use up the retry budget at a failing server.
  if (!relay.IsUnsentContinuation())
    return servers;
  for (const auto& [instance, server] : m_servers.All())
    if (MayServe(relay, *server, now))
      servers.push_back(server);
  const bool all_ejected = std::ranges::all_of(servers, [](const ServerPtr& server) {
    return server->Health().IsRecovering();
  });
  if (!all_ejected)
    return {};
  std::erase_if(servers, [&](const ServerPtr& server) {
    return !server->IsAvailableThoughEjected(now) || !m_limited.MaySend(*server, now);
  });
  return servers;
}

ServerPtr Dispatcher::ChooseAmong(const std::vector<ServerPtr>& servers, const Relay& relay)
{
  std::vector<Decisions::RouteCandidate> candidates;
  std::ranges::transform(servers, std::back_inserter(candidates), [this](const ServerPtr& server) {
    Decisions::RouteCandidate candidate;
    candidate.server = Common::VmId(server->Entry().instance.Get());
    candidate.local = server->Entry().data_centre == m_settings.data_centre;
    candidate.reported_running = server->Load();
    candidate.own_running = server->InFlight();
    candidate.limit = ConcurrencyLimitFor(*server);
    return candidate;
  });
  const std::string_view affinity =
      Common::IsOn(Common::Mechanism::Affinity) ? relay.AffinityKey() : std::string_view();
  const auto chosen = m_routing.Choose(candidates, affinity, Common::SharedRandom());
  return chosen ? servers[*chosen] : nullptr;
}

ServerPtr Dispatcher::ChooseServer(const Relay& relay)
{
  const auto now = Common::Now();
  if (const auto pool = m_configuration->pools.find(relay.SelectedPool());
      pool != m_configuration->pools.end())
    m_even_load.Refresh(pool->second);
  std::vector<ServerPtr> unlimited;
  std::vector<ServerPtr> limited;
  std::vector<ServerPtr> permitted;
  std::vector<ServerPtr> last_choices; ///< For requests that no other server can take.
  std::vector<ServerPtr> missing;
  const std::set<const Server*> avoided = ServersToAvoid(relay, now);
  for (const auto& [instance, server] : m_servers.All())
  {
    if (!IsEligible(relay, *server, now) || avoided.contains(server.get()))
      continue;
    // During the slow start after a Retry-After, new requests do not overtake waiting ones.
    if (server->GetBackoff().IsSlowStart() && WouldOvertake(relay, *server))
      continue;
    // Nor do they use a permit that a waiting request could use.
    const bool may_send =
        m_limited.MaySend(*server, now) && !(server->Limit() && WouldOvertake(relay, *server));
    if (server->IsDraining() || server->IsEntryMissing())
    {
      if (may_send)
        (server->IsDraining() ? last_choices : missing).push_back(server);
      continue;
    }
    (server->Limit() ? limited : unlimited).push_back(server);
    if (server->Limit() && may_send)
      permitted.push_back(server);
  }
  // Where most entries are missing, the servers could not write them during an outage. Where few
  // are, these servers have probably left.
  const bool most_are_missing = missing.size() > unlimited.size() + limited.size();
  std::ranges::copy(missing, std::back_inserter(most_are_missing ? unlimited : last_choices));
  // Limited servers come first: a permit expires if it is not used soon, and only a response shows
  // that a limit has ended.
  if (ServerPtr chosen = ChooseAmong(permitted, relay))
    return chosen;
  if (ServerPtr chosen = ChooseAmongUnlimited(unlimited, relay, now))
  {
    for (const ServerPtr& server : limited)
      if (!server->Limit()->cold_until)
        RecordBypass(*server, now);
    return chosen;
  }
  if (ServerPtr chosen = ChooseAmong(last_choices, relay))
    return chosen;
  return ChooseAmong(EjectedServersFor(relay, now), relay);
}

bool Dispatcher::WouldOvertake(const Relay& relay, const Server& server) const
{
  if (relay.IsWaiting())
    return false;
  return std::ranges::any_of(m_relays, [&](const auto& entry) {
    const Relay& other = *entry.second;
    return other.IsWaiting() && other.SelectedPool() == relay.SelectedPool() &&
           other.RequestedArtifact() == relay.RequestedArtifact() &&
           SortKeyOf(other) < SortKeyOf(relay) && other.MaySendTo(server.Entry().instance) &&
           MayRunAt(other, server);
  });
}

bool Dispatcher::RanksBefore(const Relay& relay, const Relay& other)
{
  return SortKeyOf(relay) < SortKeyOf(other);
}

bool Dispatcher::IsHeldFor(const Relay& relay) const
{
  const auto now = Common::Now();
  return std::ranges::any_of(m_servers.All(), [&](const auto& entry) {
    const Server& server = *entry.second;
    return server.Entry().pool == relay.SelectedPool() &&
           server.MayServe(relay.RequestedArtifact(), now) && MayRunAt(relay, server);
  });
}

std::optional<EarlyRefusal> Dispatcher::CheckEarlyRefusal(const Relay& relay,
                                                          Milliseconds idle_timeout,
                                                          Milliseconds longest_wait)
{
  const ModelId& model = relay.RequestedArtifact().model;
  const auto pool = m_configuration->pools.find(relay.SelectedPool());
  if (pool == m_configuration->pools.end())
    return std::nullopt;
  const ModelSpec* spec = pool->second.FindModel(model);
  if (!model.Empty() && spec == nullptr)
    return std::nullopt;
  if (auto refusal = CheckNoServerAllowed(relay))
    return refusal;
  if (IsCutOff())
    return EarlyRefusal{CUT_OFF_RETRY_AFTER, "this VM reaches no server"};
  const auto now = Common::Now();
  Decisions::WaitForLoadInput load;
  load.until_deadline = std::chrono::floor<Milliseconds>(relay.Deadline() - now);
  load.idle_timeout = idle_timeout;
  load.from_store = spec == nullptr ? Milliseconds(0) : spec->load_from_store;
  std::vector<ServerPtr> constrained_holders;
  std::vector<ServerPtr> brittle_holders;
  std::optional<Decisions::WeightSource> nearest_unlimited;
  bool any_late_holder = false;
  const bool may_be_too_late = !relay.HasBeenSent() && MustAvoidLateReplicas(relay, now);
  for (const auto& [instance, server] : m_servers.All())
  {
    if (server->Entry().pool != relay.SelectedPool() || !server->AcceptsRequests(now) ||
        !relay.MaySendTo(instance) || !MayRunAt(relay, *server))
      continue;
    const bool holds = model.Empty() || server->HoldsModel(model);
    const bool must_wait = server->Limit() || server->GetBackoff().IsRetryAfterActive(now);
    if (holds && !must_wait && may_be_too_late && IsTooLate(relay, *server, now))
    {
      any_late_holder = true;
      continue;
    }
    // A server that holds the model will get to the request, even if it has no free slot now.
    if (holds && !must_wait && !server->RejectionBound())
      return std::nullopt;
    if (holds && !must_wait)
      brittle_holders.push_back(server);
    if (holds)
      constrained_holders.push_back(server);
    if (holds || spec == nullptr)
      continue;
    load.load_in_progress = load.load_in_progress || server->IsLoadingFromStore(model);
    const auto source = server->SourceOf(model);
    load.nearest = std::min(load.nearest.value_or(source), source);
    if (!must_wait)
      nearest_unlimited = std::min(nearest_unlimited.value_or(source), source);
  }
  if (!brittle_holders.empty())
    return CheckPlaceQueue(relay, brittle_holders, longest_wait);
  if (!constrained_holders.empty())
    return CheckExpectedWait(constrained_holders, load.load_in_progress, nearest_unlimited,
                             longest_wait);
  if (spec == nullptr)
    return std::nullopt;
  if (any_late_holder)
    return RefusalForLateReplicas(relay, *spec, nearest_unlimited);
  const auto until = Decisions::RetryAfterIfRefused(load);
  return until ? std::optional(EarlyRefusal{*until, "the model's weights would load too late"})
               : std::nullopt;
}

void Dispatcher::ExpectRetry(const Relay& relay, Milliseconds span)
{
  auto key = DemandOf(relay);
  if (!key)
    return;
  ExpectedRetry& expected = m_expected_retries[*std::move(key)];
  expected.at = std::max(expected.at, Common::Now() + span);
  expected.priority = std::min(expected.priority, relay.Priority());
  if (m_on_demand)
    m_on_demand();
}

void Dispatcher::OnServerCrashed(const InstanceId& instance, Common::TimePoint ended_at,
                                 const std::vector<CrashDetector::Suspect>& suspects)
{
  const Crashes::ServerInstance life(instance.Started().Get() == 0
                                         ? instance.Get()
                                         : instance.Get() + "@" +
                                               std::to_string(instance.Started().Get()));
  for (const CrashDetector::Suspect& suspect : suspects)
  {
    m_crashes.RecordCrash(
        suspect.request, life, m_settings.self, suspect.sent_at, ended_at, suspect.last_success,
        suspect.ran_for ? Crashes::Progress::Responding : Crashes::Progress::NotBegun);
    for (const Crashes::Fingerprint& part : suspect.parts)
      m_crashes.RecordCrash(part, life, m_settings.self, suspect.sent_at, ended_at,
                            m_parts.LastWritten(part.quick, Common::Now()));
  }
  EndBlockedRequests();
  if (m_on_demand)
    m_on_demand();
}

void Dispatcher::MergeCrashCases(const std::vector<Crashes::CaseLine>& cases)
{
  const auto now = Common::Now();
  const std::uint64_t before = m_crashes.OwnRevision();
  for (const Crashes::CaseLine& line : cases)
  {
    m_crashes.Merge(line, now);
    const auto last_success = line.request.GetAttribute() == Crashes::Attribute::PromptPart
                                  ? m_parts.LastWritten(line.request.quick, now)
                                  : m_successes.LastOf(line.request.quick, now);
    if (last_success)
      m_crashes.NoteEarlierSuccess(line.request, *last_success, now);
  }
  OnCrashEvidence(before);
}

void Dispatcher::OnCrashEvidence(std::uint64_t revision)
{
  EndBlockedRequests();
  if (m_crashes.OwnRevision() != revision && m_on_demand)
    m_on_demand();
}

void Dispatcher::LiftBlocksOfBystanders(Common::TimePoint now)
{
  if (m_crashes.Revision() != m_compared_revision)
    // A block is compared with the others only after a delay.
    m_compare_until = now + Crashes::CrashLedger::COMPARISON_DELAY * 2;
  if (now > m_compare_until)
    return;
  for (const Crashes::Fingerprint& request : m_crashes.LiftBlocksOfBystanders(now))
    if (const auto crash_case = m_crashes.Find(request, now))
      Common::LogEvent(Common::LogLevel::Info, "request-unblocked",
                       {{"fingerprint", request.ToString()},
                        {"why", "other blocked requests explain all of its crashes"},
                        {"ended", Crashes::Describe(crash_case->server_crashes)}});
  m_compared_revision = m_crashes.Revision();
}

void Dispatcher::EndBlockedRequests()
{
  const auto blocked = m_crashes.TakeNewlyBlocked();
  const auto now = Common::Now();
  for (const Crashes::Fingerprint& request : blocked)
    if (const auto crash_case = m_crashes.Find(request, now))
      Common::LogEvent(Common::LogLevel::Warning,
                       request.GetAttribute() == Crashes::Attribute::PromptPart
                           ? "prompt-part-blocked"
                           : "request-blocked",
                       {{"fingerprint", request.ToString()},
                        {"for_ms", crash_case->blocked_for_ms},
                        {"blocks", crash_case->blocks},
                        {"ended", Crashes::Describe(crash_case->server_crashes)}});
  if (blocked.empty())
    return;
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
    relay->EndIfBlocked();
}

Crashes::BlockStatus Dispatcher::GetBlockStatus(Relay& relay) const
{
  if (m_crashes.Empty() || !m_crashes.MayContain(Crashes::QuickKeyOf(relay.Identity())))
    return {};
  return m_crashes.BlockStatusOf(relay.Fingerprint(), Common::Now());
}

Crashes::BlockStatus Dispatcher::GetPartStatus(const Relay& relay) const
{
  if (m_crashes.Empty() || relay.PromptParts().ids.empty())
    return {};
  const auto now = Common::Now();
  std::set<SoftwareVersion> versions;
  for (const ServerPtr& server : m_servers.InPool(relay.SelectedPool()))
    if (relay.MayContinueAt(server->Entry()))
      versions.insert(server->Entry().version);
  Crashes::BlockStatus shortest;
  for (const SoftwareVersion& version : versions)
  {
    const auto status = m_parts.StatusOf(relay.PromptParts(), version.Get(), now);
    if (!status.blocked)
      return {};
    if (!shortest.blocked || status.retry_after < shortest.retry_after)
      shortest = status;
  }
  return shortest;
}

bool Dispatcher::MustAwaitCrashCheck(Relay& relay) const
{
  if (!m_crash_detector.HasPendingChecks())
    return false;
  const auto now = Common::Now();
  for (const SoftwareVersion& version : m_versions.Recent(relay.SelectedPool(), now))
    if (relay.MayContinueAt(relay.SelectedPool(), version) &&
        m_crash_detector.IsCheckPendingForAny(
            m_parts.Suspected(relay.PromptParts(), version.Get(), now)))
      return true;
  const bool may_crash_more =
      relay.MustNotCrashMore() ||
      GetBlockStatus(relay).server_crashes >= Crashes::CrashLedger::CRASHES_TO_BLOCK - 1;
  return may_crash_more && m_crash_detector.IsCheckPending(relay.Fingerprint());
}

bool Dispatcher::NoteConnectionEnded(const ServerPtr& server, Relay& relay,
                                     Common::TimePoint sent_at, std::optional<Milliseconds> ran_for,
                                     CrashDetector::ResultHandler on_result)
{
  if (m_brittle.MayFallForRejections(*server, Common::Now()))
    return false;
  const auto last_success =
      m_successes.LastOf(Crashes::QuickKeyOf(relay.Identity()), Common::Now());
  return m_crash_detector.NoteConnectionEnded(
      server,
      {relay.Fingerprint(), sent_at, last_success, ran_for,
       relay.HasWritten()
           ? std::vector<Crashes::Fingerprint>()
           : m_parts.Suspects(relay.PromptParts(), server->Entry().version.Get(), Common::Now())},
      std::move(on_result));
}

void Dispatcher::NoteRequestSuccess(Relay& relay)
{
  const Crashes::QuickKey key = Crashes::QuickKeyOf(relay.Identity());
  m_successes.Note(key, Common::Now());
  if (!m_crashes.MayContain(key))
    return;
  const std::uint64_t before = m_crashes.OwnRevision();
  m_crashes.NoteRequestSuccess(relay.Fingerprint(), Common::Now());
  OnCrashEvidence(before);
}

void Dispatcher::NotePromptWritten(const Relay& relay, const SoftwareVersion& version)
{
  const std::uint64_t before = m_crashes.OwnRevision();
  m_parts.NoteWritten(relay.PromptParts(), version.Get(), Common::Now());
  if (m_crashes.OwnRevision() != before)
    OnCrashEvidence(before);
}

void Dispatcher::ScheduleDispatch()
{
  if (std::exchange(m_dispatch_scheduled, true))
    return;
  m_dispatch_timer.Start(Milliseconds(0), [this] {
    DispatchWaiting();
  });
}

std::vector<std::shared_ptr<Relay>> Dispatcher::WaitingRelays() const
{
  std::vector<std::shared_ptr<Relay>> waiting;
  for (const auto& [key, relay] : m_relays)
    if (relay->IsWaiting())
      waiting.push_back(relay);
  std::ranges::sort(waiting, {}, [](const auto& relay) {
    return SortKeyOf(*relay);
  });
  return waiting;
}

void Dispatcher::DispatchWaiting()
{
  m_dispatch_scheduled = false;
  HandleNewBackoffs();
  const auto waiting = WaitingRelays();
  for (const auto& relay : waiting)
    relay->TryDispatch();
  if (std::exchange(m_recheck_after_dispatch, false))
  {
    RecheckWaiting();
    RecheckPlaceQueues();
  }
  RecheckLateReplicas(waiting);
  const bool still_waiting = std::ranges::any_of(waiting, [](const auto& relay) {
    return relay->IsWaiting();
  });
  const bool any_permits = !m_limited.All().empty() || !m_brittle.All().empty();
  if (still_waiting && any_permits && m_on_permit_demand)
    m_on_permit_demand();
  if (still_waiting && !m_dispatch_scheduled)
    m_dispatch_timer.Start(DISPATCH_INTERVAL, [this] {
      DispatchWaiting();
    });
}

void Dispatcher::TakeGrants(std::int64_t tenure, const std::vector<Accounts::GrantLine>& grants)
{
  m_allowances.TakeGrants(tenure, grants, Common::Now());
  RetryAllowances();
}

void Dispatcher::RetryAllowances()
{
  std::vector<std::shared_ptr<Relay>> waiting;
  for (const auto& [key, relay] : m_relays)
    if (relay->AwaitsAllowance())
      waiting.push_back(relay);
  std::ranges::sort(waiting, {}, [](const auto& relay) {
    return relay->ArrivedAt();
  });
  for (const auto& relay : waiting)
    relay->RetryAllowance();
}

void Dispatcher::ScheduleAllowanceRetry()
{
  // Units may also become available without a grant of the lease holder.
  if (!m_allowance_timer.Running())
    m_allowance_timer.Start(ALLOWANCE_RETRY_INTERVAL, [this] {
      RetryAllowances();
      const bool any = std::ranges::any_of(m_relays, [](const auto& entry) {
        return entry.second->AwaitsAllowance();
      });
      if (any)
        ScheduleAllowanceRetry();
    });
  if (m_on_demand)
    m_on_demand();
}

void Dispatcher::ReportDemand()
{
  ScheduleDispatch();
  if (m_on_demand)
    m_on_demand();
}

std::vector<ArtifactDemand> Dispatcher::TakeDemand()
{
  std::map<DemandKey, ArtifactDemand> demand;
  const auto at = [&](const DemandKey& key) -> ArtifactDemand& {
    ArtifactDemand& entry = demand[key];
    entry.key = key;
    return entry;
  };
  const auto now = Common::Now();
  for (const auto& [key, relay] : m_relays)
  {
    const bool counts = relay->IsWaiting() || IsDelayed(*relay, now);
    if (!counts || relay->RequestedArtifact().model.Empty())
      continue;
    auto needs = DemandOf(*relay);
    if (!needs)
      continue;
    // A delayed request has its adapter; it needs another replica of the model.
    if (!relay->IsWaiting())
      needs->artifact.adapter = AdapterId();
    ArtifactDemand& entry = at(*needs);
    ++entry.waiting;
    entry.priority = std::min(entry.priority, relay->Priority());
    entry.oldest_wait = std::max(
        entry.oldest_wait, std::chrono::duration_cast<Milliseconds>(now - relay->ArrivedAt()));
  }
  std::erase_if(m_expected_retries, [&](const auto& entry) {
    return entry.second.at <= now;
  });
  for (const auto& [key, expected] : m_expected_retries)
  {
    ArtifactDemand& entry = at(key);
    ++entry.waiting;
    entry.priority = std::min(entry.priority, expected.priority);
  }
  for (const auto& [key, count] : m_arrivals)
    at(key).arrivals = count;
  m_arrivals.clear();
  std::vector<ArtifactDemand> result;
  std::ranges::transform(demand, std::back_inserter(result), [](auto& entry) {
    return std::move(entry.second);
  });
  return result;
}

void Dispatcher::RefreshAccountGauges()
{
  using Entry = std::pair<Accounts::AccountName, Accounts::LocalAllowances::Usage>;
  const auto totals = m_allowances.Totals();
  std::vector<Entry> largest(totals.begin(), totals.end());
  std::ranges::sort(largest, std::ranges::greater(), [](const Entry& entry) {
    return entry.second.asked;
  });
  Accounts::LocalAllowances::Usage others;
  for (std::size_t i = 0; i < largest.size(); ++i)
  {
    const auto& [account, usage] = largest[i];
    if (i >= MAX_ACCOUNT_SERIES)
    {
      others.asked += usage.asked;
      others.refused += usage.refused;
      continue;
    }
    m_metrics.SetGauge("account_asked_" + account.Get(), static_cast<double>(usage.asked));
    m_metrics.SetGauge("account_refused_" + account.Get(), static_cast<double>(usage.refused));
  }
  m_metrics.SetGauge("accounts_asked_others", static_cast<double>(others.asked));
  m_metrics.SetGauge("accounts_refused_others", static_cast<double>(others.refused));
}

void Dispatcher::RefreshGauges()
{
  RefreshAccountGauges();
  const auto now = Common::Now();
  const auto count_servers = [&](auto matches) {
    return static_cast<double>(std::ranges::count_if(m_servers.All(), [&](const auto& entry) {
      return matches(*entry.second);
    }));
  };
  const auto& permits = m_limited.Permits().Totals();
  m_metrics.SetGauge("servers_limited", static_cast<double>(m_limited.All().size()));
  m_metrics.SetGauge("replicas_late", static_cast<double>(m_late_replicas.CountLate()));
  m_metrics.SetGauge("requests_at_late_replicas",
                     static_cast<double>(m_late_replicas.CountDelayed(now)));
  m_metrics.SetGauge("rejected_for_late_replicas",
                     static_cast<double>(m_late_replicas.GetCounters().rejected));
  m_metrics.SetGauge("servers_brittle", static_cast<double>(m_brittle.All().size()));
  m_metrics.SetGauge("server_limits_unreadable", static_cast<double>(m_limited.UnreadableLimits()));
  m_metrics.SetGauge("permits_granted", static_cast<double>(permits.granted));
  m_metrics.SetGauge("permits_used", static_cast<double>(permits.used));
  m_metrics.SetGauge("permits_unused", static_cast<double>(permits.unused));
  m_metrics.SetGauge("permits_without_holder", static_cast<double>(permits.without_holder));
  m_metrics.SetGauge("crash_cases", static_cast<double>(m_crashes.Cases()));
  m_metrics.SetGauge("requests_blocked", static_cast<double>(m_crashes.Blocked(now)));
  const auto waiting = std::ranges::count_if(m_relays, [](const auto& entry) {
    return entry.second->IsWaiting();
  });
  m_metrics.SetGauge("response_bytes_buffered", static_cast<double>(m_response_memory.Total()));
  m_metrics.SetGauge("requests_open", static_cast<double>(m_relays.size()));
  m_metrics.SetGauge("requests_waiting", static_cast<double>(waiting));
  m_metrics.SetGauge("caller_connections", static_cast<double>(m_connections.size()));
  m_metrics.SetGauge("attempts", static_cast<double>(m_counters.attempts));
  m_metrics.SetGauge("repeats", static_cast<double>(m_counters.retries));
  m_metrics.SetGauge("stream_origins", static_cast<double>(m_origins.Size()));
  m_metrics.SetGauge("streams_resumed", static_cast<double>(m_counters.resumed));
  m_metrics.SetGauge("servers", static_cast<double>(m_servers.All().size()));
  m_metrics.SetGauge("servers_ejected", count_servers([&](const Server& server) {
                       return server.Health().IsEjected(now);
                     }));
  m_metrics.SetGauge("servers_draining", count_servers([](const Server& server) {
                       return server.IsDraining();
                     }));
  m_metrics.SetGauge("vm_isolated", m_paths.IsIsolated() ? 1 : 0);
  m_metrics.SetGauge("vm_cut_off", IsCutOff() ? 1 : 0);
  m_metrics.SetGauge("sent_through_helpers", static_cast<double>(m_counters.through_helpers));
  m_metrics.SetGauge("servers_through_helpers", count_servers([this](const Server& server) {
                       return m_paths.NeedsHelper(server);
                     }));
  m_metrics.SetGauge("data_centres_evacuated", static_cast<double>(m_servers.Evacuated().size()));
  m_metrics.SetGauge("servers_cold", count_servers([&](const Server& server) {
                       return server.Cold().IsCold(now);
                     }));
  m_metrics.SetGauge("sent_to_draining", static_cast<double>(m_counters.sent_to_draining));
  m_metrics.SetGauge("sent_after_drain", static_cast<double>(m_counters.sent_after_drain));
  m_metrics.SetGauge("servers_backing_off", count_servers([&](const Server& server) {
                       return server.GetBackoff().IsRetryAfterActive(now);
                     }));
  m_metrics.SetGauge("sent_in_backoff", static_cast<double>(m_counters.sent_in_backoff));
  m_metrics.SetGauge("withdrawn_for_backoff", static_cast<double>(m_counters.withdrawn));
  m_even_load.FillMetrics(m_metrics, now);
  if (m_configuration)
  {
    m_metrics.SetGauge("configuration_version", static_cast<double>(m_configuration->version));
    m_metrics.SetGauge("configuration_refused", m_configuration_error.empty() ? 0 : 1);
    m_metrics.SetGauge("accounts",
                       m_configuration->accounts
                           ? static_cast<double>(m_configuration->accounts->All().size())
                           : 0);
    if (const auto age = m_keys.Age(now))
      m_metrics.SetGauge("key_proof_age_ms", static_cast<double>(age->count()));
    m_metrics.SetGauge("configuration_age_seconds",
                       std::chrono::duration<double>(now - m_configured_at).count());
    for (const auto& [id, pool] : m_configuration->pools)
      m_metrics.SetGauge("retry_budget_left_" + id.Get(), m_budget.Left(id, now));
  }
  for (const auto& [instance, server] : m_servers.All())
    m_metrics.SetGauge("in_flight_" + instance.Get(), server->InFlight());
  const Common::LogCounters& log = Common::GetLogCounters();
  m_metrics.SetGauge("log_lines_written", static_cast<double>(log.written));
  m_metrics.SetGauge("log_lines_suppressed", static_cast<double>(log.suppressed));
  m_metrics.SetGauge("log_lines_dropped", static_cast<double>(log.dropped));
  m_metrics.SetGauge("loop_delay_worst_ms",
                     static_cast<double>(Common::Reactor::Get().TakeMaxTimerDelay().count()));
}

void Dispatcher::BeginStop(Common::TimePoint ends_at)
{
  m_stopping = true;
  m_stop_ends_at = ends_at;
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
    if (relay->IsWaiting())
      relay->TryDispatch();
}

void Dispatcher::CloseIdleConnections()
{
  m_refuses_requests = true;
  const auto connections = m_connections;
  for (const auto& [key, connection] : connections)
    connection->CloseIfIdle();
}

bool Dispatcher::HasUnsentOutput() const
{
  return std::ranges::any_of(m_connections, [](const auto& entry) {
    return entry.second->UnsentBytes() > 0;
  });
}

void Dispatcher::CancelAll()
{
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
    relay->CancelForShutdown();
}
} // namespace Gateway
