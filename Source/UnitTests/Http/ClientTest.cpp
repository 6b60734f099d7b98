// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Task.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunUntil;
using UnitTests::ThrottledServer;
using Outcome = std::optional<Common::Result<Http::Response>>;

Common::Task<void> Fetch(Http::Client& client, Http::Request request, Outcome& outcome)
{
  outcome = co_await client.Send(std::move(request));
}

class ClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(ReadsLongResponseOverSlowLink);
  CPPUNIT_TEST(TimesOutWhenResponseStalls);
  CPPUNIT_TEST_SUITE_END();

  static Http::Request RequestTo(const ThrottledServer& server)
  {
    Http::Request request;
    request.url = "http://" + server.Address().ToString() + "/v1/list?prefix=claims";
    request.timeout = Milliseconds(300);
    return request;
  }

  /// A daemon could never read the platform's table if the transfer of the list took longer than
  /// the timeout of a call, which covered the complete response: 800 KB at 10 Mbit/s take 0.64 s,
  /// the timeout was 0.3 s, and each retry started from the beginning.
  void ReadsLongResponseOverSlowLink()
  {
    ThrottledServer server(std::string(800'000, 'x'));
    Http::Client client;
    Outcome outcome;
    Common::Spawn(Fetch(client, RequestTo(server), outcome));
    CPPUNIT_ASSERT(RunUntil([&] {
      return outcome.has_value();
    }));
    CPPUNIT_ASSERT(*outcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t(800'000), (*outcome)->body.size());
  }

  void TimesOutWhenResponseStalls()
  {
    ThrottledServer server(std::string(800'000, 'x'));
    server.StopSendingAfter(100'000);
    Http::Client client;
    Outcome outcome;
    Common::Spawn(Fetch(client, RequestTo(server), outcome));
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return outcome.has_value();
        },
        Milliseconds(1000)));
    CPPUNIT_ASSERT(!*outcome);
    CPPUNIT_ASSERT(outcome->Reason().kind == Common::FailureKind::Timeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);
} // namespace
