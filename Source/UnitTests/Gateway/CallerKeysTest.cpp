// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// API keys of client accounts: which requests are admitted, and that no key reaches a backend
// server.

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr const char* OPEN_PATH = "/open/";
constexpr Milliseconds KEY_LIMIT{600};

std::string Lower(std::string text)
{
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return std::tolower(c);
  });
  return text;
}

/// Two accounts: "one" with the keys "secret-1" and "secret-2" and the priority 3, "two" with
/// "secret-3".
class KeysWorld : public UnitTests::RelayWorld
{
public:
  KeysWorld() { SetAccounts({{"one", {"secret-1", "secret-2"}}, {"two", {"secret-3"}}}); }

  void SetAccounts(const std::vector<std::pair<std::string, std::vector<std::string>>>& accounts)
  {
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    std::vector<Accounts::AccountSpec> specs;
    for (const auto& [name, keys] : accounts)
    {
      Accounts::AccountSpec spec;
      spec.account.name = Accounts::AccountName(name);
      spec.keys = keys;
      specs.push_back(spec);
    }
    specs.front().account.priority = 3;
    configuration->accounts = *Accounts::Directory::Build(specs);
    Route open = UnitTests::MakeRoute(OPEN_PATH, Repeatability::Idempotent, 2, false);
    open.open_to_all = true;
    configuration->routes.push_back(open);
    dispatcher.SetConfiguration(configuration);
  }

  /// Sets for how long a key may still be used after it has been revoked.
  void SetKeyLimit(Milliseconds limit)
  {
    DispatcherSettings settings = dispatcher.Settings();
    settings.key_limit = limit;
    dispatcher.Configure(settings);
  }
};

/// A server that responds to every request and records the request heads.
TestServer Echo()
{
  return TestServer([](TestPeer& peer, const std::string& head) {
    peer.stream->Write(Answer(head, "done"));
  });
}

class CallerKeysTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerKeysTest);
  CPPUNIT_TEST(ServerReceivesTheAccountButNotTheKey);
  CPPUNIT_TEST(ForgedAccountHeaderIsReplaced);
  CPPUNIT_TEST(KeyIsNotForwardedInAnySpelling);
  CPPUNIT_TEST(RetryDoesNotForwardTheKey);
  CPPUNIT_TEST(KeyIsNotForwardedWithoutAccounts);
  CPPUNIT_TEST(AnUnknownOrMissingKeyIs401);
  CPPUNIT_TEST(KeysThatDifferAre400);
  CPPUNIT_TEST(OpenRouteNeedsNoKeyAndForwardsNoAccount);
  CPPUNIT_TEST(AnUnknownRouteIs404WhateverTheKey);
  CPPUNIT_TEST(AccountPriorityOverridesRoutePriority);
  CPPUNIT_TEST(RequestWhoseKeyIsRevokedWhileItWaitsDoesNotRun);
  CPPUNIT_TEST(WithoutAProofKeysAreRefusedAtOnceAndOpenRoutesServed);
  CPPUNIT_TEST(ExpiredProofStopsAWaitingRequest);
  CPPUNIT_TEST(KeysAreAcceptedAgainAfterANewProof);
  CPPUNIT_TEST_SUITE_END();

  void ServerReceivesTheAccountButNotTheKey()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-2\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), HeaderOf(server.requests.at(0), "Account"));
    CPPUNIT_ASSERT(server.requests.at(0).find("secret") == std::string::npos);
  }

  void ForgedAccountHeaderIsReplaced()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1",
              "Account: two\r\nApi-Key: secret-1\r\naCCOUNT: two\r\nConnection: Account\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    const std::string head = Lower(server.requests.at(0));
    CPPUNIT_ASSERT(head.find("account: one\r\n") != std::string::npos);
    CPPUNIT_ASSERT(head.find("two") == std::string::npos);
  }

  /// The key header in capitals, repeated, listed in Connection, with extra whitespace, and in a
  /// trailer.
  void KeyIsNotForwardedInAnySpelling()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.caller.stream->Write(std::string("POST ") + PLAIN_PATH +
                               " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-1\r\n"
                               "API-KEY: secret-1\r\napi-key:\t secret-1 \r\n"
                               "Connection: Api-Key, keep-alive\r\n"
                               "Transfer-Encoding: chunked\r\nTrailer: Api-Key\r\n\r\n"
                               "4\r\nbody\r\n0\r\nApi-Key: secret-1\r\n\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT(Lower(server.requests.at(0)).find("secret") == std::string::npos);
    CPPUNIT_ASSERT(Lower(server.requests.at(0)).find("api-key") == std::string::npos);
  }

  void RetryDoesNotForwardTheKey()
  {
    KeysWorld world;
    std::string heads;
    const auto reject_once = [&heads](TestPeer& peer, const std::string& head) {
      const bool first = heads.empty();
      heads += head;
      peer.stream->Write(first ? "HTTP/1.1 503 Full\r\nReq-Id: id-1\r\nDid-Not-Run: 1\r\n"
                                 "Content-Length: 0\r\n\r\n"
                               : Answer(head, "done"));
    };
    TestServer one(reject_once);
    TestServer two(reject_once);
    world.AddServer("i-1", one.Address());
    world.AddServer("i-2", two.Address());
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), one.requests.size() + two.requests.size());
    CPPUNIT_ASSERT(heads.find("secret") == std::string::npos);
    for (const TestServer* server : {&one, &two})
      for (const std::string& head : server->requests)
        CPPUNIT_ASSERT_EQUAL(std::string("one"), HeaderOf(head, "Account"));
  }

  void KeyIsNotForwardedWithoutAccounts()
  {
    UnitTests::RelayWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\nAccount: two\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT(server.requests.at(0).find("secret") == std::string::npos);
    CPPUNIT_ASSERT(server.requests.at(0).find("two") == std::string::npos);
  }

  void AnUnknownOrMissingKeyIs401()
  {
    for (const char* keys : {"", "Api-Key: Secret-1\r\n", "Api-Key: \r\n", "Api-Key: secret\r\n",
                             "Api-Key : secret-9\r\n", "Api-Key: secret-1,secret-2\r\n"})
    {
      KeysWorld world;
      TestServer server = Echo();
      world.AddServer("i-1", server.Address());
      world.Ask(PLAIN_PATH, "id-1", keys);
      CPPUNIT_ASSERT_MESSAGE(keys, world.CallerGot("401 ") || world.CallerGot("400 "));
      CPPUNIT_ASSERT(server.requests.empty());
    }
  }

  void KeysThatDifferAre400()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\nApi-Key: secret-2\r\n");
    CPPUNIT_ASSERT(world.CallerGot("400 "));
    CPPUNIT_ASSERT(server.requests.empty());
  }

  void OpenRouteNeedsNoKeyAndForwardsNoAccount()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(OPEN_PATH, "id-1", "Api-Key: wrong\r\nAccount: one\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    const std::string head = Lower(server.requests.at(0));
    CPPUNIT_ASSERT(head.find("account") == std::string::npos);
    CPPUNIT_ASSERT(head.find("wrong") == std::string::npos);
  }

  void AnUnknownRouteIs404WhateverTheKey()
  {
    KeysWorld world;
    world.Ask("/nowhere/", "id-1", "Api-Key: wrong\r\n");
    CPPUNIT_ASSERT(world.CallerGot("404 "));
  }

  void AccountPriorityOverridesRoutePriority()
  {
    KeysWorld world;
    world.ServeModel(Milliseconds(1000));
    TestServer server = Echo();
    ServerEntry entry;
    entry.instance = InstanceId("i-1");
    entry.pool = PoolId("pool");
    entry.endpoint = server.Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = 10;
    entry.models = {{ModelId("m"), {}}};
    world.dispatcher.Servers().Put(entry);
    world.Ask(ONCE_PATH, "id-1", "Api-Key: secret-1\r\nModel: m\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), HeaderOf(server.requests.at(0), "Urgency"));
  }

  /// The request arrives with a valid key and waits for a server; the key is revoked before a
  /// server becomes available.
  void RequestWhoseKeyIsRevokedWhileItWaitsDoesNotRun()
  {
    KeysWorld world;
    TestServer server = Echo();
    world.Ask(ONCE_PATH, "id-1", "Api-Key: secret-1\r\n");
    RunFor(Milliseconds(50));
    world.SetAccounts({{"one", {"secret-2"}}, {"two", {"secret-3"}}});
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(world.CallerGot("401 "));
    CPPUNIT_ASSERT(server.requests.empty());
  }

  /// Guards against a request that runs with a key that was revoked more than 5 s earlier. That
  /// happened when a VM was cut off from the platform, or suspended, while an operator revoked the
  /// key: nothing bounded how long a daemon used a configuration that it could not verify.
  void WithoutAProofKeysAreRefusedAtOnceAndOpenRoutesServed()
  {
    KeysWorld world;
    world.SetKeyLimit(KEY_LIMIT);
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    const auto begin = Common::Now();
    world.dispatcher.Keys().RecordProof(begin - KEY_LIMIT);
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT(world.CallerGot("503 "));
    CPPUNIT_ASSERT(Common::Now() - begin < Milliseconds(50));
    CPPUNIT_ASSERT(std::stod(HeaderOf(world.caller.received, "Retry-After")) >= 1);
    CPPUNIT_ASSERT(server.requests.empty());
    world.Ask(OPEN_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
  }

  void ExpiredProofStopsAWaitingRequest()
  {
    KeysWorld world;
    world.SetKeyLimit(KEY_LIMIT);
    world.dispatcher.Keys().RecordProof(Common::Now());
    TestServer server = Echo();
    world.Ask(ONCE_PATH, "id-1", "Api-Key: secret-1\r\n");
    RunFor(KEY_LIMIT);
    CPPUNIT_ASSERT(world.caller.received.empty());
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(world.CallerGot("503 "));
    CPPUNIT_ASSERT(server.requests.empty());
  }

  void KeysAreAcceptedAgainAfterANewProof()
  {
    KeysWorld world;
    world.SetKeyLimit(KEY_LIMIT);
    TestServer server = Echo();
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT(world.CallerGot("503 "));
    world.dispatcher.Keys().RecordProof(Common::Now());
    world.Ask(PLAIN_PATH, "id-2", "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallerKeysTest);
} // namespace
