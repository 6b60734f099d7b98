// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>

#include "Accounts/KeyTrust.h"
#include "Accounts/LocalAllowances.h"
#include "Common/Metrics.h"
#include "Crashes/CrashLedger.h"
#include "Crashes/RecentSuccesses.h"
#include "Decisions/Routing.h"
#include "Gateway/DrainBook.h"
#include "Gateway/EndDetector.h"
#include "Gateway/LimitedServers.h"
#include "Gateway/Relay.h"
#include "Gateway/RetryBudget.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/ServerSignals.h"
#include "Gateway/Types.h"
#include "Http/ServerConnection.h"

namespace Gateway
{
/// Waiting and running requests for one artifact at this daemon.
struct ArtifactDemand
{
  PoolId pool;
  Artifact artifact;
  int waiting = 0;
  int priority = 9; ///< The most urgent of those that wait.
  Common::Milliseconds oldest_wait{0};
  int arrivals = 0; ///< Since the demand was last taken.
};

/// The call whose answer tells something of its server.
struct SignalOrigin
{
  std::string_view request; ///< Its id, or what else was asked.
  Common::TimePoint sent_at;
  /// A request, whose answer names all that holds. Answers to orders and reports may leave it out.
  bool is_request = true;
};

struct DispatcherSettings
{
  Common::DataCentreId data_centre; ///< Of this daemon.
  HeaderNames names;
  RetryBudgetSettings budget;
  /// How long a key that was taken away may still be used; nothing where that is not bounded.
  std::optional<Common::Milliseconds> key_limit;
  Accounts::UsageBound usage_bound;
  Common::VmId self; ///< Named to others as the witness of what it saw.
  /// After an answer to this VM has announced a server's end, it may get for so long what no other
  /// server can take.
  Common::Milliseconds drain_grace{1000};
};

/// Counters that the metrics show beside the outcomes of requests.
struct DispatcherCounters
{
  std::int64_t attempts = 0;
  std::int64_t repeats = 0;
  std::int64_t resumed = 0;
  std::int64_t sent_to_draining = 0; ///< As no other server could take them.
  std::int64_t sent_after_drain = 0; ///< Later than that is allowed.
  std::int64_t sent_in_backoff = 0;  ///< Although the server had named a Retry-After.
  std::int64_t withdrawn = 0;        ///< Before they had gone out, as such a time began.
};

/// Takes callers' requests, matches them with backend servers, and holds those that wait.
class Dispatcher : public Http::RequestHandler
{
public:
  explicit Dispatcher(DispatcherSettings settings);

  void Configure(DispatcherSettings settings);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  /// A newer configuration could not be read: the one before stays in force.
  void NoteRefusedConfiguration(std::string reason) { m_refused_configuration = std::move(reason); }
  /// Why the newest configuration is not in force; empty where it is.
  const std::string& RefusedConfiguration() const { return m_refused_configuration; }
  const std::shared_ptr<const Configuration>& CurrentConfiguration() const
  {
    return m_configuration;
  }
  ServerDirectory& Servers() { return m_servers; }
  const ServerDirectory& Servers() const { return m_servers; }
  RetryBudget& Budget() { return m_budget; }
  Accounts::KeyTrust& Keys() { return m_keys; }
  Accounts::LocalAllowances& Allowances() { return m_allowances; }
  /// The holder of the order lease grants units of the accounts' limits; requests that wait for
  /// some go on.
  void TakeGrants(std::int64_t tenure, const std::vector<Accounts::GrantLine>& grants);
  /// Servers that take only so many requests a second.
  LimitedServers& Limited() { return m_limited; }
  const LimitedServers& Limited() const { return m_limited; }
  /// Servers that have announced their end, for the exchange with other daemons.
  DrainBook& Draining() { return m_draining; }
  /// The holder of `tenure` knows of servers that have announced their end.
  void TakeDrainNews(std::int64_t tenure, std::span<const RateLimits::ServerKey> servers);
  /// At the holder: another daemon does.
  void TakeDrainReport(const Common::VmId& from, std::span<const RateLimits::ServerKey> servers);
  /// Called when permits for servers with a limit are wanted, or other daemons should hear of a
  /// limit or of a server that drains.
  void OnPermitDemand(std::function<void()> callback) { m_on_permit_demand = std::move(callback); }
  /// What the waiting requests want of servers with a limit.
  std::vector<RateLimits::PermitWant> PermitWants();
  /// Permits may have come; the holder tells how many requests of other daemons come first.
  void TakePlaces(const std::vector<RateLimits::PlaceLine>& places);
  /// Requests that end the servers that run them.
  const Crashes::CrashLedger& CrashCases() const { return m_crashes; }
  /// What other daemons know of such requests.
  void TakeCrashCases(const std::vector<Crashes::CaseLine>& cases);
  const DispatcherSettings& Settings() const { return m_settings; }
  DispatcherCounters& Counters() { return m_counters; }

  Common::Metrics& GetMetrics() { return m_metrics; }
  /// Brings the gauges up to date; for whoever reads the metrics.
  void RefreshGauges();

  /// Called when requests wait for an artifact that no server is known to hold.
  void OnDemand(std::function<void()> callback) { m_on_demand = std::move(callback); }
  /// What is wanted now; arrivals are counted anew afterwards.
  std::vector<ArtifactDemand> TakeDemand();

  void Adopt(int fd);
  /// From now on answers announce the close of their connection.
  void BeginStop();
  /// Closes connections without an open request and refuses new requests.
  void CloseIdleConnections();
  /// Gives up all open requests.
  void GiveUpAll();
  std::size_t OpenRequests() const { return m_relays.size(); }

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return m_stopping; }

  // For relays.
  ServerPtr ChooseServer(const Relay& relay);
  /// True where some server in the pool holds the artifact, whether or not it has room.
  bool IsHeldAnywhere(const PoolId& pool, const Artifact& artifact) const;
  /// Where a request cannot be served before its caller leaves: nobody holds its model and the
  /// weights would come too late, or all who hold it have a limit and too many wait for them, or
  /// want no requests until later.
  /// Nothing where it may wait, for `longest_wait` at most.
  std::optional<EarlyRefusal> WhyRefuse(const Relay& relay, Common::Milliseconds patience,
                                        Common::Milliseconds longest_wait);
  /// A refused request should come back after `span`; until then it counts as one that waits, so
  /// that its model may be loaded.
  void ExpectReturn(const Relay& relay, Common::Milliseconds span);
  void NoteArrival(const Relay& relay);
  EndDetector& Ends() { return m_ends; }
  /// Takes what an answer tells of its server into account; for answers to requests, orders and
  /// reports alike.
  void NoteSignals(const ServerPtr& server, const ServerSignals& signals,
                   const SignalOrigin& origin);
  /// The head of an interim answer, which tells only of the server's end.
  void NoteInterimSignals(const ServerPtr& server, const ServerSignals& signals,
                          const SignalOrigin& origin);
  /// A request goes to the server now.
  void CountSend(const Server& server, Common::TimePoint now);
  /// The server's connection broke while it had the request.
  void NoteBroken(const ServerPtr& server, Relay& relay, Common::TimePoint sent_at,
                  std::optional<Common::Milliseconds> ran_for);
  /// Whether the request may be sent to a server.
  Crashes::Judgement JudgeCrashes(Relay& relay) const;
  /// It is not settled whether the request has just ended the last server that it may end.
  bool IsHeldBack(Relay& relay) const;
  /// A server has run the request to a good end.
  void NoteSurvival(Relay& relay);
  /// A waiting request may go on; runs once from the main loop, however often it is asked for.
  void WakeWaiting();
  void RequestDemand();
  /// A request waits for units of its account's limit.
  void RequestAllowance();
  void Finished(Relay* relay);

private:
  void PumpWaiting();
  void TakeEnd(const InstanceId& instance, Common::TimePoint ended_at,
               const std::vector<EndDetector::Suspect>& suspects);
  /// Requests that are blocked now: those that are open end.
  void EndBlocked();
  /// Units that the accounts asked for, and that were refused.
  void RefreshAccountGauges();
  /// Requests that wait for units, oldest first, look whether there are some.
  void TryAllowances();
  std::int64_t LimitFor(const Server& server) const;
  /// True where the request may be sent to the server now, but for the server's own limit.
  bool IsEligible(const Relay& relay, const Server& server, Common::TimePoint now) const;
  /// `holders`: all that hold the model, each of which has a limit or wants no requests yet.
  /// `nearest`: where else it may be loaded.
  std::optional<EarlyRefusal> RefuseForWait(const std::vector<ServerPtr>& holders, bool is_coming,
                                            std::optional<Decisions::WeightSource> nearest,
                                            Common::Milliseconds longest_wait);
  /// How long a request would wait until the server takes it, as far as the server has told.
  Common::Milliseconds ExpectedWait(const Server& server, Common::TimePoint now) const;
  /// True where a request that waits would be overtaken by this one.
  bool IsOvertaking(const Relay& relay) const;
  /// A request could have gone to the server but for its limit.
  void NotePassedBy(const Server& server, Common::TimePoint now);
  /// Servers with a limit to which a request could go instead of elsewhere.
  std::vector<RateLimits::ServerKey> ProbesToOffer() const;
  /// The best of these servers; nothing where all are full.
  ServerPtr ChooseAmong(const std::vector<ServerPtr>& servers, const Relay& relay);
  /// Waiting requests, the first to be served first.
  std::vector<std::shared_ptr<Relay>> WaitingInOrder() const;
  /// A waiting request, and the server with a limit whose permit it waits for.
  struct AwaitedPermit
  {
    std::shared_ptr<Relay> relay;
    ServerPtr server;
    Common::Milliseconds expected_wait{0};
  };
  std::vector<AwaitedPermit> AwaitedPermits(Common::TimePoint now) const;
  /// A limit has begun or changed: requests that wait in vain now are refused.
  void ReviewWaiting();
  void OnLimitChange();
  /// The server has named a Retry-After.
  void NoteRetryAfter(const ServerPtr& server, Common::Milliseconds span,
                      const SignalOrigin& origin);
  /// Servers have named a Retry-After: looks at the requests that wait for them, and at those that
  /// have not gone out to them yet.
  void ReviewBackoffs();
  /// An answer to this VM has announced the server's end.
  void NoteAnnouncedEnd(const ServerPtr& server, const SignalOrigin& origin);
  /// The end of a server was announced to another VM.
  void NoteReportedEnd(RateLimits::ServerKey key, std::string_view told_by);
  /// Servers that came after the news of their end.
  void RefreshDraining();

  DispatcherSettings m_settings;
  std::shared_ptr<const Configuration> m_configuration;
  std::string m_refused_configuration;
  Http::ServerLimits m_limits;
  ServerDirectory m_servers;
  RetryBudget m_budget;
  Accounts::KeyTrust m_keys;
  Accounts::LocalAllowances m_allowances;
  Crashes::CrashLedger m_crashes;
  Crashes::RecentSuccesses m_successes;
  EndDetector m_ends{m_servers};
  LimitedServers m_limited{m_servers};
  DrainBook m_draining;
  std::set<ServerPtr> m_backoff_news;    ///< Servers that have just named a time.
  std::uint64_t m_draining_revision = 0; ///< Of the servers that have been told of the book.
  Decisions::AffinityRouting m_routing;
  std::map<Relay*, std::shared_ptr<Relay>> m_relays;
  std::map<Http::ServerConnection*, std::shared_ptr<Http::ServerConnection>> m_connections;
  std::map<std::pair<PoolId, Artifact>, int> m_arrivals;
  struct ExpectedReturn
  {
    Common::TimePoint at;
    int priority = 9;
  };
  std::map<std::pair<PoolId, Artifact>, ExpectedReturn> m_returns;
  std::function<void()> m_on_demand;
  std::function<void()> m_on_permit_demand;
  /// When a request last went elsewhere that a server with a limit could have served.
  std::map<RateLimits::ServerKey, Common::TimePoint> m_passed_by;
  DispatcherCounters m_counters;
  Common::Metrics m_metrics;
  Common::TimePoint m_configured_at;
  bool m_wake_asked = false;
  Common::OwnedTimer m_pump_timer;
  Common::OwnedTimer m_allowance_timer;
  bool m_stopping = false;
  bool m_refusing = false;
};
} // namespace Gateway
