// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Backoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using Common::TimePoint;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

constexpr TimePoint START{std::chrono::hours(1)};
constexpr int SLOTS = 16;

TimePoint At(int ms)
{
  return START + Milliseconds(ms);
}

std::string Rejection(const std::string& head, const std::string& retry_after)
{
  return "HTTP/1.1 503 x\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nDid-Not-Run: 1\r\nRetry-After: " + retry_after + "\r\nContent-Length: 0\r\n\r\n";
}

class BackoffTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BackoffTest);
  CPPUNIT_TEST(LatestEndTakesEffect);
  CPPUNIT_TEST(ResponseToAnEarlierRequestDoesNotEndTheBackoff);
  CPPUNIT_TEST(RequestsResumeWithASlowStart);
  CPPUNIT_TEST(FailedRequestFreesItsPlaceInTheWindow);
  CPPUNIT_TEST(RenewedRetryAftersAddUp);
  CPPUNIT_TEST(WaitingRequestsAreServedInOrderWithASlowStart);
  CPPUNIT_TEST(NonIdempotentRequestIsRetriedAtTheServerThatRejectedIt);
  CPPUNIT_TEST(Unconfirmed503StartsABackoffAndIsAnsweredWith502);
  CPPUNIT_TEST(MalformedRetryAfterStartsNoBackoff);
  CPPUNIT_TEST(LimitAndBackoffBothApply);
  CPPUNIT_TEST(WaitingRequestIsRefusedWhenTheBackoffIsRenewed);
  CPPUNIT_TEST(ServerCrashesByTheRequestsThatItRejects);
  CPPUNIT_TEST(SignalsInOrderResponsesApply);
  CPPUNIT_TEST(SignalsMissingInAnOrderResponseAreKept);
  CPPUNIT_TEST_SUITE_END();

  void LatestEndTakesEffect()
  {
    Backoff backoff;
    CPPUNIT_ASSERT(backoff.NoteRetryAfter(Milliseconds(3000), At(0)));
    CPPUNIT_ASSERT(!backoff.NoteRetryAfter(Milliseconds(1000), At(100)));
    backoff.NoteRejected(At(200));
    CPPUNIT_ASSERT(!backoff.NoteRetryAfter(Milliseconds(0), At(300)));
    CPPUNIT_ASSERT(backoff.Left(At(0)) == Milliseconds(3000));
    CPPUNIT_ASSERT(backoff.NoteRetryAfter(Milliseconds(3000), At(1000)));
    CPPUNIT_ASSERT(!backoff.MaySend(At(3999)));
    CPPUNIT_ASSERT(backoff.MaySend(At(4000)));
  }

  void ResponseToAnEarlierRequestDoesNotEndTheBackoff()
  {
    Backoff backoff;
    backoff.NoteRetryAfter(Milliseconds(1000), At(0));
    CPPUNIT_ASSERT(!backoff.NoteAccepted(At(-10), SLOTS));
    CPPUNIT_ASSERT(!backoff.MaySend(At(500)));
    backoff.NoteStart(At(1000));
    CPPUNIT_ASSERT(!backoff.NoteAccepted(At(999), SLOTS));
    CPPUNIT_ASSERT(!backoff.MaySend(At(1001)));
  }

  void RequestsResumeWithASlowStart()
  {
    Backoff backoff;
    backoff.NoteRetryAfter(Milliseconds(1000), At(0));
    int sent = 0;
    for (int round = 0; backoff.IsSlowStart(); ++round)
    {
      int in_round = 0;
      for (; backoff.MaySend(At(1000 + round)) && in_round < SLOTS; ++in_round)
        backoff.NoteStart(At(1000 + round));
      CPPUNIT_ASSERT_EQUAL(1 << round, in_round);
      sent += in_round;
      for (int i = 0; i < in_round; ++i)
        CPPUNIT_ASSERT_EQUAL(round == 0, backoff.NoteAccepted(At(1000 + round), SLOTS));
    }
    CPPUNIT_ASSERT(sent <= SLOTS);
  }

  /// The server bears four rejections per second, which four daemons share.
  void ServerCrashesByTheRequestsThatItRejects()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 503 x\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nDid-Not-Run: 1\r\nBrittle: 4\r\nContent-Length: 0\r\n\r\n");
    });
    UnitTests::RelayWorld world;
    world.dispatcher.SetDaemons(4);
    world.AddServer("i-1", server.Address());
    std::vector<std::unique_ptr<TestPeer>> callers;
    for (int i = 0; i < 30; ++i)
    {
      callers.push_back(world.NewCaller());
      callers.back()->stream->Write("GET /plain/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-" +
                                    std::to_string(i) + "\r\n\r\n");
      RunFor(Milliseconds(50));
    }
    CPPUNIT_ASSERT(!server.requests.empty());
    CPPUNIT_ASSERT(server.requests.size() <= 2);
  }

  void FailedRequestFreesItsPlaceInTheWindow()
  {
    Backoff backoff;
    backoff.NoteRetryAfter(Milliseconds(1000), At(0));
    backoff.NoteStart(At(1000));
    CPPUNIT_ASSERT(!backoff.MaySend(At(1100)));
    backoff.NoteEnd(At(1000));
    CPPUNIT_ASSERT(backoff.MaySend(At(1100)));
    // Requests sent before the Retry-After do not affect the window.
    backoff.NoteEnd(At(-50));
    backoff.NoteStart(At(1100));
    CPPUNIT_ASSERT(!backoff.MaySend(At(1100)));
  }

  void RenewedRetryAftersAddUp()
  {
    Backoff backoff;
    CPPUNIT_ASSERT(backoff.RetryAfterSpan(At(0)) == Milliseconds(0));
    backoff.NoteRetryAfter(Milliseconds(1000), At(0));
    CPPUNIT_ASSERT(backoff.RetryAfterSpan(At(0)) == Milliseconds(1000));
    backoff.NoteStart(At(1000));
    backoff.NoteRetryAfter(Milliseconds(1000), At(1100));
    CPPUNIT_ASSERT(backoff.RetryAfterSpan(At(1100)) == Milliseconds(2100));
    backoff.NoteStart(At(2100));
    backoff.NoteAccepted(At(2100), SLOTS);
    backoff.NoteRetryAfter(Milliseconds(1000), At(2200));
    CPPUNIT_ASSERT(backoff.RetryAfterSpan(At(2200)) == Milliseconds(1000));
  }

  void WaitingRequestsAreServedInOrderWithASlowStart()
  {
    std::vector<std::pair<std::string, TimePoint>> arrivals;
    std::vector<TestPeer*> unanswered;
    bool rejects = true;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      arrivals.emplace_back(HeaderOf(head, "Req-Id"), Common::Now());
      if (rejects)
        peer.stream->Write(Rejection(head, "0.3"));
      else
        unanswered.push_back(&peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    std::vector<std::unique_ptr<TestPeer>> callers;
    const auto ask = [&](const std::string& id) {
      callers.push_back(world.NewCaller());
      callers.back()->stream->Write("POST " + std::string(PLAIN_PATH) +
                                    " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: " + id +
                                    "\r\n\r\n");
      RunFor(Milliseconds(5));
    };
    ask("first");
    RunFor(Milliseconds(30));
    rejects = false;
    for (const char* id : {"second", "third", "fourth"})
      ask(id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivals.size());
    CPPUNIT_ASSERT(RunUntil([&] {
      return arrivals.size() >= 2;
    }));
    ask("late");
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), arrivals.size());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), arrivals[1].first);
    CPPUNIT_ASSERT(arrivals[1].second - arrivals[0].second >= Milliseconds(300));
    unanswered.at(0)->stream->Write(
        "HTTP/1.1 200 OK\r\nReq-Id: first\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nok");
    CPPUNIT_ASSERT(RunUntil([&] {
      return arrivals.size() >= 4;
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("second"), arrivals[2].first);
    CPPUNIT_ASSERT_EQUAL(std::string("third"), arrivals[3].first);
  }

  void NonIdempotentRequestIsRetriedAtTheServerThatRejectedIt()
  {
    int arrivals = 0;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(++arrivals == 1 ? Rejection(head, "0.2") : Answer(head, "ran"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("ran"));
    CPPUNIT_ASSERT_EQUAL(2, arrivals);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.dispatcher.Counters().sent_in_backoff);
  }

  void Unconfirmed503StartsABackoffAndIsAnsweredWith502()
  {
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 503 x\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("502"));
    world.Ask(ONCE_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
    const double come_back = std::stod(HeaderOf(world.caller.received, "Retry-After"));
    CPPUNIT_ASSERT(come_back >= 29 && come_back < 34);
  }

  void MalformedRetryAfterStartsNoBackoff()
  {
    int arrivals = 0;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(++arrivals == 1 ? Rejection(head, "-3") : Answer(head, "ran"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("ran") || arrivals == 1);
    CPPUNIT_ASSERT(!world.dispatcher.Servers()
                        .Find(InstanceId("i-1"))
                        ->GetBackoff()
                        .IsRetryAfterActive(Common::Now()));
  }

  void LimitAndBackoffBothApply()
  {
    TestServer server([&](TestPeer& peer, const std::string& head) {
      std::string response = Rejection(head, "30");
      peer.stream->Write(response.insert(response.find("\r\n") + 2, "Limit: 0.5\r\n"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    const double come_back = std::stod(HeaderOf(world.caller.received, "Retry-After"));
    CPPUNIT_ASSERT(come_back >= 29);
    world.caller.received.clear();
    world.Ask(PLAIN_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
  }

  void WaitingRequestIsRefusedWhenTheBackoffIsRenewed()
  {
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Rejection(head, HeaderOf(head, "Req-Id") == "id-1" ? "0.2" : "30"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    RunFor(Milliseconds(50));
    const ServerPtr known = world.dispatcher.Servers().Find(InstanceId("i-1"));
    CPPUNIT_ASSERT(known->GetBackoff().IsRetryAfterActive(Common::Now()));
    const auto renewed = Common::Now();
    ServerSignals signals;
    signals.backoff = Milliseconds(30000);
    world.dispatcher.ApplySignals(known, signals, {"another", renewed});
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT(Common::Now() - renewed < Milliseconds(50));
  }

  void SignalsInOrderResponsesApply()
  {
    World world;
    TestServer server([](TestPeer&, const std::string&) {});
    world.AddServer("i-1", server.Address());
    const ServerPtr known = world.dispatcher.Servers().Find(InstanceId("i-1"));
    ServerSignals signals;
    signals.backoff = Milliseconds(30000);
    signals.draining = true;
    world.dispatcher.ApplySignals(known, signals, {"an order", Common::Now(), false});
    CPPUNIT_ASSERT(known->IsDraining());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT(server.requests.empty());
  }

  void SignalsMissingInAnOrderResponseAreKept()
  {
    World world;
    TestServer server([](TestPeer&, const std::string&) {});
    world.AddServer("i-1", server.Address());
    const ServerPtr known = world.dispatcher.Servers().Find(InstanceId("i-1"));
    ServerSignals limited;
    limited.limit.rate = RateLimits::RequestRate(3000);
    world.dispatcher.ApplySignals(known, limited, {"id-1", Common::Now()});
    CPPUNIT_ASSERT(known->Limit());
    known->Drain().NoteReported(Common::Now());
    const auto later = Common::Now() + Milliseconds(1);
    world.dispatcher.ApplySignals(known, {}, {"a report", later, false});
    CPPUNIT_ASSERT(known->Limit() && known->IsDraining());
    world.dispatcher.ApplySignals(known, {}, {"id-2", later});
    CPPUNIT_ASSERT(!known->Limit() && !known->IsDraining());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackoffTest);
} // namespace
