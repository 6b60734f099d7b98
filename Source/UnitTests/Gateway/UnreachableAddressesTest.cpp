// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Servers to which the kernel refuses to connect at once: their entry names an address that no
// server can have, or the network of this VM is gone.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::ONCE_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

/// Addresses that `connect` refuses with an error, or that no server listens at.
std::vector<Http::Endpoint> OddAddresses()
{
  std::vector<Http::Endpoint> addresses;
  for (const char* text : {"255.255.255.255:80", "224.0.0.1:80", "127.0.0.1:0"})
    addresses.push_back(*Http::Endpoint::Parse(text));
  return addresses;
}

/// Lets the process open no further descriptor.
class NoMoreDescriptors
{
public:
  NoMoreDescriptors()
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const int next = dup(0);
    close(next);
    rlimit limit = m_before;
    limit.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~NoMoreDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
  NoMoreDescriptors(const NoMoreDescriptors&) = delete;
  NoMoreDescriptors& operator=(const NoMoreDescriptors&) = delete;

private:
  rlimit m_before{};
};

class UnreachableAddressesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnreachableAddressesTest);
  CPPUNIT_TEST(AddressOfNoServerEndsTheProcess);
  CPPUNIT_TEST(AddressOfNoServerCostsTheOtherServers);
  CPPUNIT_TEST(LackOfDescriptorsEndsTheProcess);
  CPPUNIT_TEST(RequestIsSentOnceASocketIsAvailable);
  CPPUNIT_TEST_SUITE_END();

  void AddressOfNoServerEndsTheProcess()
  {
    for (const Http::Endpoint& address : OddAddresses())
    {
      World world;
      world.AddServer("i-1", address);
      world.Ask(ONCE_PATH, "id-1", "Left-Ms: 500\r\n");
      CPPUNIT_ASSERT_MESSAGE(address.ToString(), world.CallerGot("HTTP/1.1 50"));
    }
  }

  void AddressOfNoServerCostsTheOtherServers()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "done"));
    });
    for (const Http::Endpoint& address : OddAddresses())
    {
      World world;
      world.AddServer("i-1", address);
      world.AddServer("i-2", server.Address());
      for (int i = 0; i < 10; ++i)
      {
        world.caller.received.clear();
        world.Ask(PLAIN_PATH, "id-" + std::to_string(i));
        CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
        CPPUNIT_ASSERT_MESSAGE(address.ToString(), world.CallerGot("done"));
      }
    }
  }

  void LackOfDescriptorsEndsTheProcess()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "done"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return world.caller.stream->IsConnected();
    }));
    UnitTests::RunFor(Milliseconds(20));
    {
      const NoMoreDescriptors none;
      world.Ask(ONCE_PATH, "id-1", "Left-Ms: 500\r\n");
      CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    }
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("done"));
  }

  void RequestIsSentOnceASocketIsAvailable()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "late"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return world.caller.stream->IsConnected();
    }));
    UnitTests::RunFor(Milliseconds(20));
    {
      const NoMoreDescriptors none;
      world.Ask(ONCE_PATH, "id-1");
      UnitTests::RunFor(Milliseconds(100));
      CPPUNIT_ASSERT(world.caller.received.empty());
    }
    CPPUNIT_ASSERT(world.CallerGot("late"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnreachableAddressesTest);
} // namespace
