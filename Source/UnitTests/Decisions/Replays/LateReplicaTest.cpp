// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Guards against requests that are lost at a replica that serves none in time: 36 requests for a
// model arrived within 8 s at its only replica and all ended at their deadline of 5 s, while other
// servers were idle. The server's large batch accepted all of them, so none waited at a VM, and
// only waiting requests count as demand. The weights were on no other server's disk.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/LateReplicaRules.h"
#include "Decisions/ReplicaPlan.h"
#include "Decisions/ReplicaProgress.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Decisions::ModelIndex;
using Decisions::ReplicaProgress;
using Decisions::ReplicaView;

constexpr Milliseconds STEP{10};
constexpr Milliseconds TIMEOUT{5000};
constexpr Milliseconds TARGET{1500};
constexpr Milliseconds FROM_STORE{12000};
constexpr Milliseconds ARRIVALS_FOR{8000};
constexpr int ARRIVALS = 36;
constexpr int BATCH = 64;
constexpr std::size_t SERVERS = 4;
constexpr ModelIndex MODEL{0};
const TimePoint EPOCH = TimePoint() + std::chrono::hours(1);

struct Load
{
  std::size_t daemons = 1;
  /// Time to the first event at the first server; unset: it sends none.
  std::optional<Milliseconds> first_server;
  std::size_t replicas = 1; ///< At the start; the others serve in 200 ms.
  bool new_rule = true;
};

struct Result
{
  int served = 0;
  int lost = 0;              ///< Ended at their deadline.
  int rejected = 0;          ///< Attempts that were rejected immediately.
  int false_retry_after = 0; ///< Rejected again after they waited as told.
  int loads = 0;
  int most_counted = 0; ///< Requests at late replicas that counted as demand at the same time.

  std::string Text() const
  {
    return std::to_string(served) + " served, " + std::to_string(lost) + " lost, " +
           std::to_string(rejected) + " rejected, " + std::to_string(false_retry_after) +
           " rejected again, " + std::to_string(loads) + " loads, " + std::to_string(most_counted) +
           " counted";
  }
};

/// Daemons, servers and the planner in virtual time. Retries arrive at a different daemon.
class Replay
{
public:
  explicit Replay(const Load& load) : m_load(load), m_daemons(load.daemons)
  {
    for (std::size_t i = 0; i < SERVERS; ++i)
      m_servers[i].loaded = i < load.replicas;
    if (load.new_rule)
      m_plan.rules.late_after = TARGET;
    m_plan.batch = BATCH;
    m_plan.models.resize(1);
    m_plan.models[0].memory_mb = 70;
    m_plan.models[0].from_disk = m_plan.models[0].from_host_memory = Milliseconds(1000);
    m_plan.models[0].from_store = FROM_STORE;
    m_plan.servers.resize(SERVERS);
    // Only the first server has a copy on disk.
    m_plan.copies.Set(Decisions::ServerIndex(0), {}, {MODEL});
  }

  Result Run()
  {
    for (int i = 0; i < ARRIVALS; ++i)
      m_arrivals.push_back({ARRIVALS_FOR * i / ARRIVALS, static_cast<std::size_t>(i), false});
    for (; m_now < Milliseconds(40000); m_now += STEP)
    {
      AdvanceServers();
      AdvanceRequests();
      Arrive();
      if (m_now.count() % 500 == 0)
        Plan();
    }
    return m_result;
  }

private:
  struct Arrival
  {
    Milliseconds at{0};
    std::size_t daemon = 0;
    bool is_retry = false;
  };
  struct Request
  {
    std::uint64_t id = 0;
    std::size_t daemon = 0;
    std::size_t server = 0;
    Milliseconds sent_at{0};
    std::optional<Milliseconds> served_at;
  };
  struct Server
  {
    bool loaded = false;
    std::optional<Milliseconds> loads_until;
    Milliseconds since{-60000};
  };
  struct Daemon
  {
    ReplicaProgress progress;
    std::optional<Milliseconds> replica_expected_at; ///< As told to rejected callers.
  };

  static ReplicaProgress::ReplicaId IdOf(std::size_t server)
  {
    return {Common::VmId("i-" + std::to_string(server)), "m"};
  }

  TimePoint Now() const { return EPOCH + m_now; }

  void AdvanceServers()
  {
    for (Server& server : m_servers)
      if (server.loads_until && *server.loads_until <= m_now)
      {
        server = {true, std::nullopt, m_now};
      }
  }

  void AdvanceRequests()
  {
    for (Daemon& daemon : m_daemons)
      daemon.progress.NoteTick(Now());
    std::erase_if(m_open, [&](const Request& request) {
      ReplicaProgress& progress = m_daemons[request.daemon].progress;
      if (request.served_at && *request.served_at <= m_now)
      {
        progress.NoteFirstEvent(IdOf(request.server), request.id, Now());
        ++m_result.served;
        return true;
      }
      if (m_now - request.sent_at < TIMEOUT)
        return false;
      progress.NoteGivenUp(IdOf(request.server), request.id, Now());
      ++m_result.lost;
      return true;
    });
  }

  ReplicaView View(const Daemon& daemon, std::size_t server) const
  {
    const auto id = IdOf(server);
    return {daemon.progress.IsLate(id, TARGET, Now()), daemon.progress.CountOpen(id),
            daemon.progress.ExpectedFirstEvent(id, Now())};
  }

  void Arrive()
  {
    const auto arrivals = m_arrivals;
    std::erase_if(m_arrivals, [&](const Arrival& arrival) {
      return arrival.at <= m_now;
    });
    for (const Arrival& arrival : arrivals)
      if (arrival.at <= m_now)
        Dispatch(arrival);
  }

  void Dispatch(const Arrival& arrival)
  {
    const std::size_t index = arrival.daemon % m_daemons.size();
    Daemon& daemon = m_daemons[index];
    std::vector<std::size_t> holders;
    std::vector<ReplicaView> views;
    for (std::size_t i = 0; i < SERVERS; ++i)
      if (m_servers[i].loaded)
      {
        holders.push_back(i);
        views.push_back(m_load.new_rule ? View(daemon, i) : ReplicaView());
      }
    const bool any_may_serve = std::ranges::any_of(views, [](const ReplicaView& view) {
      return Decisions::MayTakeRequest(view, false, TIMEOUT);
    });
    if (!views.empty() && !any_may_serve)
    {
      Reject(daemon, arrival);
      return;
    }
    const bool any_in_time = std::ranges::any_of(views, [](const ReplicaView& view) {
      return !view.late;
    });
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < holders.size(); ++i)
      if (Decisions::MayTakeRequest(views[i], any_in_time, TIMEOUT) &&
          (!best || OpenAt(holders[i]) < OpenAt(*best)))
        best = holders[i];
    CPPUNIT_ASSERT(best);
    Request request{++m_last_id, index, *best, m_now, std::nullopt};
    if (*best != 0)
      request.served_at = m_now + Milliseconds(200);
    else if (m_load.first_server)
      request.served_at = m_now + *m_load.first_server;
    daemon.progress.NoteSent(IdOf(*best), request.id, Now());
    m_open.push_back(request);
  }

  std::ptrdiff_t OpenAt(std::size_t server) const
  {
    return std::ranges::count(m_open, server, &Request::server);
  }

  void Reject(Daemon& daemon, const Arrival& arrival)
  {
    ++m_result.rejected;
    m_result.false_retry_after += arrival.is_retry ? 1 : 0;
    if (!daemon.replica_expected_at || *daemon.replica_expected_at < m_now)
      daemon.replica_expected_at = m_now + FROM_STORE;
    // Callers are told tenths of a second, rounded up.
    m_arrivals.push_back(
        {*daemon.replica_expected_at + Milliseconds(100), arrival.daemon + 1, true});
  }

  void Plan()
  {
    m_plan.now = Now();
    Decisions::PlannedModel& model = m_plan.models[0];
    model.waiting = 0;
    model.oldest_wait = model.oldest_wait_for_model = Milliseconds(0);
    model.in_flight = static_cast<int>(m_open.size());
    model.arrivals_per_second = m_now < ARRIVALS_FOR ? 4.5 : 0.5;
    model.last_wanted = Now();
    for (const Request& request : m_open)
    {
      const Daemon& daemon = m_daemons[request.daemon];
      const Milliseconds waited = m_now - request.sent_at;
      if (!m_load.new_rule || waited <= TARGET ||
          !daemon.progress.IsLate(IdOf(request.server), TARGET, Now()))
        continue;
      ++model.waiting;
      model.oldest_wait = std::max(model.oldest_wait, waited);
      model.oldest_wait_for_model = model.oldest_wait;
    }
    m_result.most_counted = std::max(m_result.most_counted, model.waiting);
    int loading = 0;
    for (std::size_t i = 0; i < SERVERS; ++i)
    {
      Decisions::PlannedServer& planned = m_plan.servers[i];
      const Server& server = m_servers[i];
      planned = {};
      planned.memory_mb = 150;
      planned.in_flight = static_cast<int>(OpenAt(i));
      if (server.loaded)
        planned.replicas.push_back({MODEL, planned.in_flight, EPOCH + server.since});
      planned.order_open = server.loads_until.has_value();
      if (server.loads_until)
      {
        planned.loading = MODEL;
        ++loading;
      }
    }
    m_plan.store_loads_allowed = 2 - loading;
    for (const Decisions::PlannedOrder& order : Decisions::PlanReplicas(m_plan).orders)
    {
      CPPUNIT_ASSERT(order.source == Decisions::WeightSource::WeightStore);
      m_servers[At(order.server)].loads_until = m_now + FROM_STORE;
      ++m_result.loads;
    }
  }

  Load m_load;
  std::vector<Daemon> m_daemons;
  Server m_servers[SERVERS];
  std::vector<Request> m_open;
  std::vector<Arrival> m_arrivals;
  std::uint64_t m_last_id = 0;
  Milliseconds m_now{0};
  Decisions::ReplicaPlanInput m_plan;
  Result m_result;
};

class LateReplicaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LateReplicaTest);
  CPPUNIT_TEST(AllAreLostIfOnlyWaitingRequestsCount);
  CPPUNIT_TEST(ModelGetsAnotherReplicaAndTheRestIsServed);
  CPPUNIT_TEST(NothingChangesWhileTheReplicaServesInTime);
  CPPUNIT_TEST(NothingIsRejectedWhileAnotherReplicaServesInTime);
  CPPUNIT_TEST(SlowReplicaThatServesBeforeTheDeadlineIsUsed);
  CPPUNIT_TEST_SUITE_END();

  /// The rule before: the load on which the new one is measured.
  void AllAreLostIfOnlyWaitingRequestsCount()
  {
    Load load;
    load.new_rule = false;
    const Result result = Replay(load).Run();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), ARRIVALS, result.lost);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.loads);
  }

  /// Requests are lost only in the time until it is known that the replica serves none: half of
  /// their timeout, and one probe at each daemon for each timeout.
  void ModelGetsAnotherReplicaAndTheRestIsServed()
  {
    for (const std::size_t daemons : {1, 3, 6})
    {
      Load load;
      load.daemons = daemons;
      const Result result = Replay(load).Run();
      const std::string text = std::to_string(daemons) + " daemons: " + result.Text();
      if (std::getenv("DRUMPOND_PRINT_REPLAYS") != nullptr)
        std::cout << text << "\n";
      const int before_known = static_cast<int>(ARRIVALS * (TIMEOUT / 2 + STEP) / ARRIVALS_FOR) + 1;
      const int bound = before_known + static_cast<int>(daemons) * 3;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, ARRIVALS, result.served + result.lost);
      CPPUNIT_ASSERT_MESSAGE(text, result.lost <= bound);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, result.false_retry_after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, result.loads);
    }
  }

  void NothingChangesWhileTheReplicaServesInTime()
  {
    Load load;
    load.first_server = Milliseconds(1400);
    const Result result = Replay(load).Run();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), ARRIVALS, result.served);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.rejected);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.most_counted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.loads);
  }

  /// The second replica has free slots.
  void NothingIsRejectedWhileAnotherReplicaServesInTime()
  {
    Load load;
    load.replicas = 2;
    const Result result = Replay(load).Run();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.rejected);
    CPPUNIT_ASSERT_MESSAGE(result.Text(), result.served >= ARRIVALS * 3 / 4);
  }

  /// Late for the latency target, yet callers prefer a late response to none.
  void SlowReplicaThatServesBeforeTheDeadlineIsUsed()
  {
    Load load;
    load.first_server = Milliseconds(2400);
    const Result result = Replay(load).Run();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.rejected);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), ARRIVALS, result.served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateReplicaTest);
} // namespace
