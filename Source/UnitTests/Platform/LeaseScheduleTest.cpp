// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <array>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Json.h"
#include "Fleet/StoreVersion.h"
#include "UnitTests/Support/Loopback.h"
#include "platform/OrderClient.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;

constexpr Milliseconds PAUSE{150};

/// The store with the lease row.
struct World
{
  bool Chance(unsigned one_in) { return random() % one_in == 0; }
  void Write(const std::string& text) { row = {"", text, row.version + 1}; }
  void Later(std::function<void()> call)
  {
    Common::Reactor::Get().After(Milliseconds(1 + random() % 15), std::move(call));
  }

  std::mt19937 random;
  Fleet::TableRow row{"", R"({"holder":""})", 1};
  Fleet::TableRow copy = row;
};

/// The way of a daemon's process to the store. A write may arrive after the process has ended.
struct Link
{
  void ReplaceLease(std::int64_t expected, const LeaseRecord& record,
                    const std::function<void(Common::Result<std::int64_t>)>& done) const
  {
    const Common::Json json = {{"holder", record.holder.Get()},
                               {"run", record.run.Get()},
                               {"ordering", record.ordering},
                               {"era", record.era}};
    const std::weak_ptr<bool> process = alive;
    world->Later([world = world, process, expected, done, text = Common::DumpJson(json)] {
      Common::Result<std::int64_t> result = Common::Failure{Common::FailureKind::Conflict, ""};
      const bool is_written = expected == world->row.version;
      if (is_written)
        world->Write(text);
      if (is_written && !world->Chance(15))
        result = world->row.version;
      world->Later([process, done, result] {
        if (!process.expired())
          done(result);
      });
    });
  }

  std::shared_ptr<World> world;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Three daemons, to which faults happen at random.
struct Schedule
{
  struct Daemon
  {
    const char* name;
    int run = 0;
    Common::TimePoint start_at;
    std::unique_ptr<Link> link;
    std::unique_ptr<LeaseManager<Link>> manager;
  };

  void Step(Common::TimePoint now)
  {
    if (world->Chance(20))
      world->copy = world->row;
    const auto next_era = Fleet::EraOf(world->row.version) + 1;
    const auto restored = Fleet::VersionIn(next_era, Fleet::StoreNumber(world->copy.version));
    if (world->Chance(800))
      world->row = {"", world->copy.value, restored};
    if (world->Chance(1200))
      world->Write(world->Chance(2) ? "{}" : "spoilt");
    for (Daemon& daemon : daemons)
      Step(daemon, now);
  }

  void Step(Daemon& daemon, Common::TimePoint now)
  {
    const bool is_killed = daemon.manager && world->Chance(600);
    if (now >= daemon.start_at || is_killed)
    {
      daemon.manager.reset();
      daemon.link = std::make_unique<Link>(Link{world});
      daemon.manager = std::make_unique<LeaseManager<Link>>(
          *daemon.link, LeaseSettings{Common::VmId(daemon.name),
                                      Common::Incarnation(std::to_string(++daemon.run)), "",
                                      Milliseconds(700), PAUSE});
      daemon.manager->Start();
      daemon.start_at = Common::TimePoint::max();
    }
    auto& manager = *daemon.manager;
    if (manager.MaySendOrders(now))
      OnOrder(now, daemon.name, manager.Fence());
    if (world->Chance(8))
      world->Later([&manager, row = world->row, process = std::weak_ptr(daemon.link->alive)] {
        if (!process.expired())
          manager.OnRow(row.version, PlatformAdapter::LeaseRowStore::Decode(row));
      });
    if (manager.Holds(now) && world->Chance(200))
      manager.Resign();
    if (!manager.Holds(now) || !world->Chance(80))
      return;
    manager.Release();
    daemon.start_at = now + Milliseconds(world->random() % 200);
  }

  void OnOrder(Common::TimePoint now, const std::string& name, std::int64_t fence)
  {
    const bool is_turn = !last_name.empty() && name != last_name;
    turns += is_turn ? 1 : 0;
    if (fence < last_fence || (is_turn && (now - last_at < PAUSE || fence == last_fence)))
      broken += name + " after " + last_name + ", fence " + std::to_string(fence) + "; ";
    last_name = name;
    last_at = now;
    last_fence = fence;
  }

  std::shared_ptr<World> world = std::make_shared<World>();
  std::array<Daemon, 3> daemons{Daemon{"a"}, Daemon{"b"}, Daemon{"c"}};
  int turns = 0;
  std::string broken;
  std::string last_name;
  Common::TimePoint last_at;
  std::int64_t last_fence = 0;
};

struct LeaseScheduleTest : CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseScheduleTest);
  CPPUNIT_TEST(TwoHoldersOrderWithinThePause);
  CPPUNIT_TEST_SUITE_END();

  /// Releases, restarts, restores, lost responses and spoilt rows at random.
  void TwoHoldersOrderWithinThePause()
  {
    std::vector<Schedule> schedules(400);
    for (unsigned seed = 0; auto& schedule : schedules)
      schedule.world->random.seed(seed++);
    for (const auto end = Common::Now() + Milliseconds(1800); Common::Now() < end;)
    {
      for (auto& schedule : schedules)
        schedule.Step(Common::Now());
      UnitTests::RunFor(Milliseconds(5));
    }
    int turns = 0;
    for (const auto& schedule : schedules)
    {
      CPPUNIT_ASSERT_EQUAL(std::string(), schedule.broken);
      turns += schedule.turns;
    }
    CPPUNIT_ASSERT(turns >= 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseScheduleTest);
} // namespace
