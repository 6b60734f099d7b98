// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A VM may be suspended for seconds. std::steady_clock does not count that time, so leases, proofs,
// deadlines and timers from before the suspension stayed valid for too long: a holder whose lease
// had expired for the other daemons continued to issue orders, and a request was forwarded with
// more time left than its caller still granted.

#include <optional>
#include <string_view>

#include <cppunit/extensions/HelperMacros.h>

#include "Accounts/KeyFreshness.h"
#include "Common/Loop.h"
#include "Http/OriginConnection.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/SuspendedVm.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::SuspendVm;

constexpr Milliseconds SUSPENDED{5000};

/// Records how an exchange failed.
class BreakageRecorder : public Http::ResponseHandler
{
public:
  HeadAction OnResponseHead(Http::MessageHead&) override { return HeadAction::Accept; }
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd() override {}
  void OnExchangeFailed(Http::ExchangeError breakage) override { last = breakage; }

  std::optional<Http::ExchangeError> last;
};

class SuspendedVmTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuspendedVmTest);
  CPPUNIT_TEST(ClockAndTimersIncludeSuspension);
  CPPUNIT_TEST(RequestIsNotSentAfterSuspensionExceedsItsDeadline);
  CPPUNIT_TEST_SUITE_END();

  /// The connection is established during the suspension, and its readiness event is handled before
  /// any timer runs.
  void RequestIsNotSentAfterSuspensionExceedsItsDeadline()
  {
    UnitTests::TestServer server([](auto&, const auto&) {});
    BreakageRecorder recorder;
    const auto connection = Http::OriginConnection::Connect(server.Address());
    connection->Send("GET / HTTP/1.1\r\nLeft-Ms: 1500\r\n\r\n", &recorder);
    SuspendVm(SUSPENDED);
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(recorder.last == Http::ExchangeError::ConnectTimedOut);
    CPPUNIT_ASSERT(server.requests.empty());
  }

  void ClockAndTimersIncludeSuspension()
  {
    Accounts::KeyFreshness keys;
    keys.Configure(SUSPENDED);
    keys.RecordProof(Common::Now());
    bool fired = false;
    Common::OwnedTimer timer;
    timer.Start(Milliseconds(2000), [&] {
      fired = true;
    });
    const auto begin = Common::Now();
    SuspendVm(SUSPENDED);
    CPPUNIT_ASSERT(Common::Now() - begin >= SUSPENDED);
    CPPUNIT_ASSERT(!keys.IsFresh(Common::Now()));
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(fired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspendedVmTest);
} // namespace
