// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <pcg_random.hpp>

#include "Decisions/ReplicaPlan.h"
#include "UnitTests/Decisions/RandomFleet.h"
#include "UnitTests/Decisions/ReferencePlan.h"

namespace
{
using namespace Decisions;
using UnitTests::FleetSize;
using UnitTests::RandomFleet;

std::string Name(const char* prefix, std::size_t index)
{
  // Zero-padded, so that names sort in the order of their indices.
  const std::string digits = std::to_string(index);
  return prefix + std::string(5 - digits.size(), '0') + digits;
}

std::string ModelName(ModelIndex model)
{
  return Name("m", At(model));
}

ReferencePlan::ReplicaPlanInput ToReferenceInput(const ReplicaPlanInput& input)
{
  ReferencePlan::ReplicaPlanInput result;
  result.now = input.now;
  result.store_loads_allowed = input.store_loads_allowed;
  for (std::size_t i = 0; i < input.models.size(); ++i)
  {
    const PlannedModel& model = input.models[i];
    const std::string name = ModelName(ModelIndex(i));
    result.models[name] = {name,
                           model.memory_mb,
                           model.from_host_memory,
                           model.from_disk,
                           model.from_store,
                           model.waiting,
                           model.priority,
                           model.oldest_wait,
                           model.arrivals_per_second,
                           model.in_flight,
                           model.last_wanted};
  }
  for (std::size_t i = 0; i < input.servers.size(); ++i)
  {
    const PlannedServer& server = input.servers[i];
    ReferencePlan::PlannedServer& named = result.servers.emplace_back();
    named.instance = Name("s", i);
    named.memory_mb = server.memory_mb;
    named.adapters_mb = server.adapters_mb;
    named.usable = server.usable;
    named.order_open = server.order_open;
    if (server.loading)
      named.loading = ModelName(*server.loading);
    named.in_flight = server.in_flight;
    named.batch = input.batch;
    for (const PlannedReplica& replica : server.replicas)
      named.replicas.push_back({ModelName(replica.model), replica.in_flight, replica.since});
    for (std::size_t model = 0; model < input.models.size(); ++model)
    {
      const auto source = input.copies.SourceOn(ServerIndex(i), ModelIndex(model));
      if (source == WeightSource::HostMemory)
        named.in_host_memory.push_back(ModelName(ModelIndex(model)));
      if (source == WeightSource::Disk)
        named.on_disk.push_back(ModelName(ModelIndex(model)));
    }
  }
  return result;
}

using OrderTuple = std::tuple<bool, std::string, std::string, std::string, int>;

std::vector<OrderTuple> ToTuples(const std::vector<PlannedOrder>& orders)
{
  std::vector<OrderTuple> tuples;
  tuples.reserve(orders.size());
  for (const PlannedOrder& order : orders)
    tuples.emplace_back(order.kind == PlannedOrder::Kind::Load, Name("s", At(order.server)),
                        ModelName(order.model), order.for_model ? ModelName(*order.for_model) : "",
                        static_cast<int>(order.source));
  return tuples;
}

std::vector<OrderTuple> ToTuples(const std::vector<ReferencePlan::PlannedOrder>& orders)
{
  std::vector<OrderTuple> tuples;
  tuples.reserve(orders.size());
  for (const ReferencePlan::PlannedOrder& order : orders)
    tuples.emplace_back(order.kind == ReferencePlan::PlannedOrder::Kind::Load, order.instance,
                        order.model, order.for_model, static_cast<int>(order.source));
  return tuples;
}

class PlanEquivalenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlanEquivalenceTest);
  CPPUNIT_TEST(MatchesReferencePlanner);
  CPPUNIT_TEST(WorkScalesWithWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

  void MatchesReferencePlanner()
  {
    constexpr int FLEETS = 400;
    std::size_t orders = 0;
    for (std::uint64_t seed = 0; seed < FLEETS; ++seed)
    {
      pcg64 random(seed);
      const FleetSize size{3 + random() % 20, 10 + random() % 80, random() % 15};
      const ReplicaPlanInput input = RandomFleet(size, random);
      const auto ours = ToTuples(Decisions::PlanReplicas(input).orders);
      const auto reference = ToTuples(ReferencePlan::PlanReplicas(ToReferenceInput(input)));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), ours == reference);
      orders += ours.size();
    }
    CPPUNIT_ASSERT(orders > FLEETS);
  }

  /// A fleet whose models have no arrivals and no running requests: the waiting requests are the
  /// only demand.
  static ReplicaPlanInput IdleFleet(const FleetSize& size, int store_loads)
  {
    pcg64 random(7);
    ReplicaPlanInput input = RandomFleet(size, random);
    input.store_loads_allowed = store_loads;
    for (PlannedModel& model : input.models)
    {
      model.arrivals_per_second = 0;
      model.in_flight = 0;
    }
    return input;
  }

  /// With ten times the servers and models and the same waiting requests, the number of evaluated
  /// candidates stays about the same, since only servers with a copy are considered.
  void WorkScalesWithWaitingRequests()
  {
    const auto candidates = [](const FleetSize& size, int store_loads) {
      return Decisions::PlanReplicas(IdleFleet(size, store_loads)).candidates;
    };
    const std::size_t for_small = candidates({256, 1375, 100}, 0);
    const std::size_t for_large = candidates({2560, 13750, 100}, 0);
    CPPUNIT_ASSERT(for_small > 0);
    CPPUNIT_ASSERT(for_large < for_small * 2);
    // 600 models times the few servers that have a copy, plus at most 16 scans of all servers.
    CPPUNIT_ASSERT(candidates({256, 1375, 600}, 2) < 600 * 12 + 16 * 256);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanEquivalenceTest);
} // namespace
