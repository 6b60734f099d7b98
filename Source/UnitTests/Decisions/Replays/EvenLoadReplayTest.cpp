// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Replays with the bounds of docs/HARD-LOAD.md, "Targets". docs/design/even-load.md has the figures
// of all policies.

#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Random.h"
#include "Decisions/Routing.h"
#include "Decisions/ServerSpeeds.h"
#include "UnitTests/Decisions/Replays/SlotServers.h"

namespace
{
using namespace UnitTests;
using Decisions::ShareCandidate;

constexpr int SEEDS = 4;
constexpr double RATIO_BOUND = 1.15;
constexpr double HIGH_LOAD_RATIO_BOUND = 1.3;
constexpr double DISTURBED_RATIO_BOUND = 1.25;
constexpr double WAITED_BOUND = 0.25;
constexpr double REJECTED_BOUND = 0.001;
const std::vector<double> UNEVEN = {0.5, 1, 1, 1};
const std::vector<double> TWO_SLOW = {1, 1, 1, 1.0 / 3, 1.0 / 3, 1, 1, 1, 1, 1, 1, 1};

class ByShares : public ServerChooser
{
public:
  ByShares(std::size_t vm, std::size_t vms) { m_shares.SetDaemons(vm, vms); }

  std::optional<std::size_t> Choose(const std::vector<ShareCandidate>& candidates,
                                    const std::vector<std::int64_t>&,
                                    Common::TimePoint now) override
  {
    return m_shares.Choose(candidates, now);
  }

  void NoteResponse(const Common::VmId& server, Common::Milliseconds took,
                    Common::TimePoint now) override
  {
    m_speeds.NoteResponse(server, took, now);
  }

  double SpeedOf(const Common::VmId& server, Common::TimePoint now) const override
  {
    return m_speeds.SpeedOf(server, now);
  }

private:
  Decisions::PlaceShares m_shares;
  Decisions::ServerSpeeds m_speeds;
};

/// The routing of all other pools: the least sum of own requests and totals. Weights of the totals
/// below 1 show what they are worth.
class ByTotals : public ServerChooser
{
public:
  ByTotals(std::size_t vm, double weight) : m_random(vm), m_weight(weight) {}

  std::optional<std::size_t> Choose(const std::vector<ShareCandidate>& candidates,
                                    const std::vector<std::int64_t>& totals,
                                    Common::TimePoint) override
  {
    std::vector<Decisions::RouteCandidate> routes(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
      routes[i].server = candidates[i].server;
      routes[i].own_running = candidates[i].own_running;
      // In hundredths, so that weights need no other routing.
      routes[i].reported_running =
          candidates[i].own_running * 100 +
          static_cast<std::int64_t>(static_cast<double>(totals[i]) * m_weight * 100);
      routes[i].limit = candidates[i].limit;
    }
    return m_routing.Choose(routes, {}, m_random);
  }

private:
  Decisions::AffinityRouting m_routing;
  Common::Random m_random;
  double m_weight;
};

class ByRoundRobin : public ServerChooser
{
public:
  explicit ByRoundRobin(std::size_t vm) : m_next(vm) {}

  std::optional<std::size_t> Choose(const std::vector<ShareCandidate>& candidates,
                                    const std::vector<std::int64_t>&, Common::TimePoint) override
  {
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
      const std::size_t index = m_next++ % candidates.size();
      if (candidates[index].own_running < candidates[index].limit)
        return index;
    }
    return std::nullopt;
  }

private:
  std::size_t m_next;
};

std::unique_ptr<ServerChooser> MakeShares(std::size_t vm, std::size_t vms)
{
  return std::make_unique<ByShares>(vm, vms);
}

std::unique_ptr<ServerChooser> MakeTotals(std::size_t vm, std::size_t)
{
  return std::make_unique<ByTotals>(vm, 1);
}

SlotServersSettings With(std::size_t vms, double load, const std::vector<double>& speeds = {})
{
  SlotServersSettings settings;
  settings.vms = vms;
  settings.load = load;
  settings.speeds = speeds;
  if (vms == 1000)
  {
    settings.servers = 2000;
    settings.warm_up_s = 2;
    settings.duration_s = 1;
  }
  return settings;
}

SlotServersSettings Bursts(std::size_t vms)
{
  SlotServersSettings settings = With(vms, 0.7);
  settings.burst = 12;
  return settings;
}

SlotServersSettings Replacement(std::size_t vms)
{
  SlotServersSettings settings = With(vms, 0.7);
  settings.replaced = 3;
  return settings;
}

std::string Text(const std::string& name, const SlotServersSettings& settings,
                 const SlotServersResult& result)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << name << ", " << settings.vms << " VMs, load "
       << settings.load << (settings.speeds == UNEVEN ? ", uneven" : "")
       << (settings.speeds == TWO_SLOW ? ", two slow" : "")
       << (settings.burst > 1 ? ", bursts" : "")
       << (settings.replaced > 0 ? ", three replaced" : "") << ": ratio " << result.Ratio()
       << " (longest idle slot " << result.RatioToIdleQueue() << ")"
       << ", waited beside free slots " << result.WaitedShare() << ", rejected " << result.rejected
       << " and unserved " << result.unserved << " of " << result.requests;
  return text.str();
}

/// Replays each combination of policy and settings once, since several tests check its bounds.
SlotServersResult Run(const std::string& name, const SlotServersSettings& settings,
                      const MakeChooser& make)
{
  static std::map<std::string, SlotServersResult> s_results;
  const std::string key = Text(name, settings, {});
  if (const auto known = s_results.find(key); known != s_results.end())
    return known->second;
  SlotServersResult sum;
  const int seeds = settings.vms == 1000 ? 1 : SEEDS;
  for (int seed = 1; seed <= seeds; ++seed)
    sum += ReplaySlotServers(settings, make, static_cast<std::uint64_t>(seed));
  std::cout << Text(name, settings, sum) << std::endl;
  s_results[key] = sum;
  return sum;
}

void CheckRatio(const SlotServersSettings& settings, double bound)
{
  const SlotServersResult result = Run("shares", settings, MakeShares);
  const std::string text = Text("shares", settings, result);
  CPPUNIT_ASSERT_MESSAGE(text, result.Ratio() <= bound);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, result.unserved);
}

void CheckWaits(const SlotServersSettings& settings)
{
  const SlotServersResult result = Run("shares", settings, MakeShares);
  CPPUNIT_ASSERT_MESSAGE(Text("shares", settings, result), result.WaitedShare() < WAITED_BOUND);
}

void CheckRejections(const SlotServersSettings& settings)
{
  const SlotServersResult result = Run("shares", settings, MakeShares);
  const std::string text = Text("shares", settings, result);
  CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(result.rejected) <
                                   REJECTED_BOUND * static_cast<double>(result.requests));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, result.unserved);
}

void CheckBaseline(const SlotServersSettings& settings, double bound)
{
  const SlotServersResult result = Run("totals", settings, MakeTotals);
  CPPUNIT_ASSERT_MESSAGE(Text("totals", settings, result), result.Ratio() > bound);
}

class EvenLoadReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvenLoadReplayTest);
  CPPUNIT_TEST(TotalsExceedTheBounds);
  CPPUNIT_TEST(OtherPolicies);
  CPPUNIT_TEST(RatioAt6);
  CPPUNIT_TEST(RatioAt20);
  CPPUNIT_TEST(RatioAt40);
  CPPUNIT_TEST(RatioAt78);
  CPPUNIT_TEST(RatioAt1000);
  CPPUNIT_TEST(RatioAtHighLoadAt6);
  CPPUNIT_TEST(RatioAtHighLoadAt20);
  CPPUNIT_TEST(RatioAtHighLoadAt40);
  CPPUNIT_TEST(RatioAtHighLoadAt78);
  CPPUNIT_TEST(RatioAtHighLoadAt1000);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAt6);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAndHighLoadAt6);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAt20);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAndHighLoadAt20);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAt40);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAndHighLoadAt40);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAt78);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAndHighLoadAt78);
  CPPUNIT_TEST(RatioAtUnevenSpeedsAt1000);
  CPPUNIT_TEST(RatioInBursts);
  CPPUNIT_TEST(RatioWithTwoSlowServersUpTo40);
  CPPUNIT_TEST(RatioWithTwoSlowServersAt78);
  CPPUNIT_TEST(RatioWhileThreeServersAreReplaced);
  CPPUNIT_TEST(WaitsAt6);
  CPPUNIT_TEST(WaitsAt20);
  CPPUNIT_TEST(WaitsAt40);
  CPPUNIT_TEST(WaitsAt78);
  CPPUNIT_TEST(WaitsAt1000);
  CPPUNIT_TEST(Rejections);
  CPPUNIT_TEST(RejectionsInBursts);
  CPPUNIT_TEST_SUITE_END();

  /// The baseline: shows that the bounds detect the failure, all VMs choosing the same server.
  void TotalsExceedTheBounds()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
    {
      CheckBaseline(With(vms, 0.7), RATIO_BOUND);
      CheckBaseline(With(vms, 0.9), HIGH_LOAD_RATIO_BOUND);
      CheckBaseline(With(vms, 0.7, UNEVEN), RATIO_BOUND);
      CheckBaseline(With(vms, 0.7, TWO_SLOW), DISTURBED_RATIO_BOUND);
      CheckBaseline(Bursts(vms), DISTURBED_RATIO_BOUND);
      CheckBaseline(Replacement(vms), DISTURBED_RATIO_BOUND);
    }
  }

  /// Prints the figures of the policies that were weighed. Guards against shares losing to a
  /// simpler policy.
  void OtherPolicies()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
    {
      const auto settings = With(vms, 0.7);
      const double shares = Run("shares", settings, MakeShares).Ratio();
      const auto round_robin = [](std::size_t vm, std::size_t) {
        return std::make_unique<ByRoundRobin>(vm);
      };
      CPPUNIT_ASSERT(shares < Run("round robin", settings, round_robin).Ratio());
      for (const double weight : {0.0, 0.1, 0.3})
      {
        const auto weighted = [weight](std::size_t vm, std::size_t) {
          return std::make_unique<ByTotals>(vm, weight);
        };
        const std::string name = weight == 0 ? "own counts" : "totals x " + std::to_string(weight);
        CPPUNIT_ASSERT(shares < Run(name, settings, weighted).Ratio());
      }
    }
  }

  void RatioAt6() { CheckRatio(With(6, 0.7), RATIO_BOUND); }
  void RatioAt20() { CheckRatio(With(20, 0.7), RATIO_BOUND); }
  void RatioAt40() { CheckRatio(With(40, 0.7), RATIO_BOUND); }
  /// The same servers: each slot has two owners.
  void RatioAt78() { CheckRatio(With(78, 0.7), RATIO_BOUND); }
  /// 2,000 servers, so that a VM has as many slots as at 6 VMs.
  void RatioAt1000() { CheckRatio(With(1000, 0.7), RATIO_BOUND); }

  void RatioAtHighLoadAt6() { CheckRatio(With(6, 0.9), HIGH_LOAD_RATIO_BOUND); }
  void RatioAtHighLoadAt20() { CheckRatio(With(20, 0.9), HIGH_LOAD_RATIO_BOUND); }
  void RatioAtHighLoadAt40() { CheckRatio(With(40, 0.9), HIGH_LOAD_RATIO_BOUND); }
  void RatioAtHighLoadAt78() { CheckRatio(With(78, 0.9), HIGH_LOAD_RATIO_BOUND); }
  void RatioAtHighLoadAt1000() { CheckRatio(With(1000, 0.9), HIGH_LOAD_RATIO_BOUND); }

  /// A quarter of the servers is half as fast.
  void RatioAtUnevenSpeedsAt6() { CheckRatio(With(6, 0.7, UNEVEN), RATIO_BOUND); }
  void RatioAtUnevenSpeedsAndHighLoadAt6()
  {
    CheckRatio(With(6, 0.9, UNEVEN), HIGH_LOAD_RATIO_BOUND);
  }
  void RatioAtUnevenSpeedsAt20() { CheckRatio(With(20, 0.7, UNEVEN), RATIO_BOUND); }
  void RatioAtUnevenSpeedsAndHighLoadAt20()
  {
    CheckRatio(With(20, 0.9, UNEVEN), HIGH_LOAD_RATIO_BOUND);
  }
  void RatioAtUnevenSpeedsAt40() { CheckRatio(With(40, 0.7, UNEVEN), RATIO_BOUND); }
  void RatioAtUnevenSpeedsAndHighLoadAt40()
  {
    CheckRatio(With(40, 0.9, UNEVEN), HIGH_LOAD_RATIO_BOUND);
  }
  void RatioAtUnevenSpeedsAt78() { CheckRatio(With(78, 0.7, UNEVEN), RATIO_BOUND); }
  void RatioAtUnevenSpeedsAndHighLoadAt78()
  {
    CheckRatio(With(78, 0.9, UNEVEN), HIGH_LOAD_RATIO_BOUND);
  }

  void RatioAtUnevenSpeedsAt1000() { CheckRatio(With(1000, 0.7, UNEVEN), RATIO_BOUND); }

  /// 12 requests arrive at the same moment.
  void RatioInBursts()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
      CheckRatio(Bursts(vms), DISTURBED_RATIO_BOUND);
  }

  /// Two servers at a third of the speed.
  void RatioWithTwoSlowServersUpTo40()
  {
    for (const std::size_t vms : {6, 20, 40})
      CheckRatio(With(vms, 0.7, TWO_SLOW), DISTURBED_RATIO_BOUND);
  }
  void RatioWithTwoSlowServersAt78() { CheckRatio(With(78, 0.7, TWO_SLOW), DISTURBED_RATIO_BOUND); }

  /// The daemons learn it at different times, so their shares overlap meanwhile.
  void RatioWhileThreeServersAreReplaced()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
      CheckRatio(Replacement(vms), DISTURBED_RATIO_BOUND);
  }

  void WaitsAt6() { CheckWaits(With(6, 0.7)); }
  void WaitsAt20() { CheckWaits(With(20, 0.7)); }
  void WaitsAt40() { CheckWaits(With(40, 0.7)); }
  void WaitsAt78() { CheckWaits(With(78, 0.7)); }
  void WaitsAt1000() { CheckWaits(With(1000, 0.7)); }

  /// A herd of requests that fills the queue of a server.
  void Rejections()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
    {
      CheckRejections(With(vms, 0.7));
      CheckRejections(With(vms, 0.9));
    }
  }
  void RejectionsInBursts()
  {
    for (const std::size_t vms : {6, 20, 40, 78})
      CheckRejections(Bursts(vms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvenLoadReplayTest);
} // namespace
