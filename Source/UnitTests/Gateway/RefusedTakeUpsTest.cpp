// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Streams that are taken up and refused, since no daemon knows which software version began them.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using UnitTests::RunUntil;
using World = UnitTests::RelayWorld;

class RefusedTakeUpsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RefusedTakeUpsTest);
  CPPUNIT_TEST(RefusedTakeUpIsKeptInMemory);
  CPPUNIT_TEST_SUITE_END();

  static void TakeUp(World& world, int count)
  {
    static int s_next = 0;
    for (int i = 0; i < count; ++i)
    {
      const std::string id = std::to_string(++s_next);
      world.caller.received.clear();
      world.Ask(UnitTests::STREAM_PATH, "id-" + id,
                "Last-Event-Id: 1\r\nResumes: lost-" + id + "\r\n");
      CPPUNIT_ASSERT(RunUntil([&] {
        return world.caller.received.ends_with("\r\n\r\n") && world.dispatcher.OpenRequests() == 0;
      }));
      CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 503 "));
    }
  }

  void RefusedTakeUpIsKeptInMemory()
  {
    constexpr int COUNT = 1000;
    constexpr std::size_t MAX_BYTES_PER_REQUEST = 32;
    World world;
    world.dispatcher.OnOriginQuery([&](Gateway::StreamKey stream, const Gateway::PoolId&) {
      Gateway::OriginEvidence nobody_knows;
      nobody_knows.is_complete = true;
      world.dispatcher.LearnNoOrigin(stream, nobody_knows);
    });
    TakeUp(world, COUNT);
    const std::size_t before = mallinfo2().uordblks;
    TakeUp(world, COUNT);
    const std::size_t after = mallinfo2().uordblks;
    const std::size_t per_request = after > before ? (after - before) / COUNT : 0;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(per_request) + " bytes per request",
                           per_request <= MAX_BYTES_PER_REQUEST);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RefusedTakeUpsTest);
} // namespace
