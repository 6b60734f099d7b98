// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/RequestAccount.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Common::Milliseconds;
using Tool::Fate;
using Tool::RequestAccount;
using Tool::RequestLine;

RequestLine Line(const std::string& outcome, const std::string& why = "",
                 const std::string& awaited = "")
{
  RequestLine line;
  line.timestamp = "2026-03-13T02:34:17.834";
  line.id = "a";
  line.route = "chat";
  line.outcome = outcome;
  line.why = why;
  line.awaited = awaited;
  line.took = Milliseconds(700);
  line.target = Milliseconds(500);
  return line;
}

RequestLine Answered(std::int64_t took, std::optional<Milliseconds> first_event)
{
  RequestLine line = Line("answered");
  line.took = Milliseconds(took);
  line.first_event = first_event;
  line.arrivals = 1;
  return line;
}

RequestLine At(RequestLine line, const std::string& timestamp, const std::string& id)
{
  line.timestamp = timestamp;
  line.id = id;
  return line;
}

const std::string REQUEST_FIELDS =
    "event=request id=a route=chat outcome=refused status=503 why=\"the deadline passed\" "
    "arrivals=0 ms=12 first_event_ms=-1";

void CheckFate(Fate expected, const RequestLine& line)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(line.outcome + ": " + line.why,
                               std::string(Tool::ToString(expected)),
                               std::string(Tool::ToString(Tool::Classify(line))));
}

class RequestAccountTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestAccountTest);
  CPPUNIT_TEST(StreamsAreJudgedByTheirFirstEvent);
  CPPUNIT_TEST(ExpiredWaitsAreCountedByWhatWasAwaited);
  CPPUNIT_TEST(RequestsThatReachedAServerAreNotCountedAsWaiting);
  CPPUNIT_TEST(RejectionsAreSplitByHowLongTheyTook);
  CPPUNIT_TEST(RefusalsOfOtherKindsAreNotEarlyRejections);
  CPPUNIT_TEST(CallersThatLeaveWhileWaitingAreLostToTheWait);
  CPPUNIT_TEST(LinesOfEarlierVersionsAreRead);
  CPPUNIT_TEST(MissingAndMalformedFieldsAreNamed);
  CPPUNIT_TEST(ARetriedRequestCountsOnce);
  CPPUNIT_TEST(ASecondRejectionIsCountedAsSuch);
  CPPUNIT_TEST(RequestsWithoutIdAreCountedOneByOne);
  CPPUNIT_TEST(TheWorstSecondsComeFirst);
  CPPUNIT_TEST(StoreCallsAreAddedUp);
  CPPUNIT_TEST(OmittedLinesAreReported);
  CPPUNIT_TEST_SUITE_END();

  // A stream runs on for long after its first event, which is what the target is about.
  void StreamsAreJudgedByTheirFirstEvent()
  {
    CheckFate(Fate::ServedInTime, Answered(9000, Milliseconds(500)));
    CheckFate(Fate::ServedLate, Answered(9000, Milliseconds(501)));
    CheckFate(Fate::ServedInTime, Answered(500, std::nullopt));
    CheckFate(Fate::ServedLate, Answered(501, std::nullopt));
    RequestLine without_target = Answered(9000, std::nullopt);
    without_target.target = Milliseconds(0);
    CheckFate(Fate::ServedInTime, without_target);
  }

  void ExpiredWaitsAreCountedByWhatWasAwaited()
  {
    const std::string expired = "no server could take the request in time";
    CheckFate(Fate::WaitedForLoad, Line("refused", expired, "load"));
    CheckFate(Fate::WaitedForPlace, Line("refused", expired, "place"));
    CheckFate(Fate::WaitedForPlace,
              Line("refused", "the deadline passed before the request ran", "place"));
    CheckFate(Fate::WaitedForOrigin,
              Line("refused", "it is not known which software version began the stream"));
    CheckFate(Fate::WaitedForUnits, Line("over_limit", "the account has used up its limit"));
    CheckFate(Fate::WaitedForUnits, Line("refused", "the account's limit cannot be checked"));
    CheckFate(Fate::WaitedForConnection, Line("refused", "no socket available"));
    CheckFate(Fate::WaitedForConnection, Line("refused", "could not connect to the server"));
  }

  void RequestsThatReachedAServerAreNotCountedAsWaiting()
  {
    CheckFate(Fate::EndedAtDeadline, Line("failed", "the deadline passed"));
    CheckFate(Fate::EndedAtDeadline, Line("broken_off", "the deadline passed"));
    CheckFate(Fate::FailedAtServer,
              Line("failed", "the connection broke before the response was complete"));
    CheckFate(Fate::FailedAtServer, Line("broken_off", "no server could continue the stream"));
    CheckFate(Fate::FailedAtServer,
              Line("failed", "no other server was available in time: malformed response", "place"));
  }

  void RejectionsAreSplitByHowLongTheyTook()
  {
    RequestLine line = Line("refused", "the model's weights would load too late");
    line.took = Milliseconds(50);
    CheckFate(Fate::RejectedOnArrival, line);
    line.took = Milliseconds(51);
    CheckFate(Fate::RejectedAfterWait, line);
    // A rejection within 50 ms, but after a server had the request.
    line.took = Milliseconds(10);
    line.arrivals = 1;
    CheckFate(Fate::RejectedAfterWait, line);
  }

  void RefusalsOfOtherKindsAreNotEarlyRejections()
  {
    CheckFate(Fate::RejectedByServer,
              Line("refused", "the server rejected the request with status 503"));
    CheckFate(Fate::RejectedByServer, Line("refused", "the retry budget is exhausted"));
    CheckFate(Fate::DaemonStopped, Line("refused", "this process is shutting down"));
    CheckFate(Fate::DaemonStopped, Line("broken_off", "this process is shutting down"));
    CheckFate(Fate::NotAdmitted, Line("refused", "the keys cannot be proven current"));
    CheckFate(Fate::NotAdmitted, Line("no_route"));
    CheckFate(Fate::NotAdmitted, Line("denied"));
    CheckFate(Fate::Blocked, Line("blocked"));
  }

  void CallersThatLeaveWhileWaitingAreLostToTheWait()
  {
    CheckFate(Fate::CallerLeft, Line("caller_gone"));
    CheckFate(Fate::WaitedForLoad, Line("caller_gone", "", "load"));
    CheckFate(Fate::WaitedForUnits, Line("caller_gone", "", "units"));
    CheckFate(Fate::WaitedForConnection, Line("caller_gone", "", "connection"));
  }

  void LinesOfEarlierVersionsAreRead()
  {
    const auto fields = Tool::ParseFields(REQUEST_FIELDS);
    const auto line = Tool::ReadRequestLine("2026-03-13T02:34:17.834", *fields);
    CPPUNIT_ASSERT(line);
    CPPUNIT_ASSERT(!line->target);
    CPPUNIT_ASSERT(!line->first_event);
    CPPUNIT_ASSERT(Milliseconds(12) == line->took);
    RequestLine answered = Answered(12, std::nullopt);
    answered.target.reset();
    CheckFate(Fate::ServedUnjudged, answered);
  }

  // A field that is silently read as 0 would put the request under a wrong cause.
  void MissingAndMalformedFieldsAreNamed()
  {
    const auto error_with = [](const std::string& changes) {
      const auto fields = Tool::ParseFields(REQUEST_FIELDS + " " + changes);
      const auto line = Tool::ReadRequestLine("2026-03-13T02:34:17.834", *fields);
      CPPUNIT_ASSERT(!line);
      return line.Reason().detail;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("malformed field ms=12x"), error_with("ms=12x"));
    CPPUNIT_ASSERT_EQUAL(std::string("malformed field arrivals="), error_with("arrivals=\"\""));
    CPPUNIT_ASSERT_EQUAL(std::string("malformed field outcome=lost"), error_with("outcome=lost"));
    CPPUNIT_ASSERT_EQUAL(std::string("malformed field awaited=x"), error_with("awaited=x"));
    CPPUNIT_ASSERT_EQUAL(std::string("malformed field target_ms=soon"),
                         error_with("target_ms=soon"));
    auto fields = Tool::ParseFields(REQUEST_FIELDS);
    fields->erase("first_event_ms");
    CPPUNIT_ASSERT_EQUAL(std::string("missing field first_event_ms"),
                         Tool::ReadRequestLine("2026-03-13T02:34:17.834", *fields).Reason().detail);
    CPPUNIT_ASSERT_EQUAL(std::string("the line has no timestamp"),
                         Tool::ReadRequestLine("", *fields).Reason().detail);
  }

  // The logs of several daemons are read one after the other, so the attempt that was served may
  // come before the one that was rejected.
  void ARetriedRequestCountsOnce()
  {
    const RequestLine rejected = At(Line("refused"), "2026-03-13T02:34:17.000", "a");
    const RequestLine served = At(Answered(9, std::nullopt), "2026-03-13T02:34:18.000", "a");
    for (const bool served_first : {false, true})
    {
      RequestAccount account;
      account.AddRequest(served_first ? served : rejected);
      account.AddRequest(served_first ? rejected : served);
      const RequestAccount::Counts expected{{Fate::ServedInTime, 1}};
      CPPUNIT_ASSERT(expected == account.ByRoute().at("chat"));
      CPPUNIT_ASSERT(account.WorstSeconds(5).empty());
    }
  }

  void ASecondRejectionIsCountedAsSuch()
  {
    RequestAccount account;
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:18.000", "a"));
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:17.000", "a"));
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:17.000", "b"));
    account.AddRequest(At(Line("failed", "the deadline passed"), "2026-03-13T02:34:18.000", "b"));
    const RequestAccount::Counts expected{{Fate::RejectedTwice, 1}, {Fate::EndedAtDeadline, 1}};
    CPPUNIT_ASSERT(expected == account.ByRoute().at("chat"));
    CPPUNIT_ASSERT_EQUAL(std::string("2026-03-13T02:34:18"), account.WorstSeconds(5)[0].second);
  }

  void RequestsWithoutIdAreCountedOneByOne()
  {
    RequestAccount account;
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:17.000", ""));
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:18.000", ""));
    const RequestAccount::Counts expected{{Fate::RejectedAfterWait, 2}};
    CPPUNIT_ASSERT(expected == account.ByRoute().at("chat"));
  }

  void TheWorstSecondsComeFirst()
  {
    RequestAccount account;
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:17.000", "a"));
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:19.100", "b"));
    account.AddRequest(At(Line("refused"), "2026-03-13T02:34:19.900", "c"));
    account.AddRequest(At(Answered(9, std::nullopt), "2026-03-13T02:34:19.950", "d"));
    const auto worst = account.WorstSeconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), worst.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2026-03-13T02:34:19"), worst[0].second);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), worst[0].lost);
    const RequestAccount::Counts expected{{Fate::ServedInTime, 1}, {Fate::RejectedAfterWait, 2}};
    CPPUNIT_ASSERT(expected == worst[0].by_route.at("chat"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), account.WorstSeconds(5).size());
    const auto json = account.ToJson(5);
    CPPUNIT_ASSERT_EQUAL(3, json["routes"]["chat"]["lost"].get<int>());
    CPPUNIT_ASSERT_EQUAL(4, json["routes"]["chat"]["requests"].get<int>());
  }

  // The lines contain the calls since the previous line, not the totals.
  void StoreCallsAreAddedUp()
  {
    RequestAccount account;
    const auto add = [&account](const std::string& text) {
      return account.AddStoreCalls(*Tool::ParseFields(text));
    };
    CPPUNIT_ASSERT(add("kind=read result=200 calls=3"));
    CPPUNIT_ASSERT(add("kind=read result=200 calls=4"));
    CPPUNIT_ASSERT(add("kind=read result=timeout calls=1"));
    CPPUNIT_ASSERT(!add("kind=read result=timeout calls=many"));
    CPPUNIT_ASSERT(!add("result=timeout calls=1"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), account.StoreCalls().at({"read", "200"}));
    CPPUNIT_ASSERT_EQUAL(1, account.ToJson(1)["store_calls"]["read"]["timeout"].get<int>());
  }

  // Without this number, a burst of rejections looks like no more than the daemon's log budget.
  void OmittedLinesAreReported()
  {
    RequestAccount account;
    RequestLine line = Line("refused");
    line.suppressed = 17;
    account.AddRequest(line);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(17), account.SuppressedLines());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAccountTest);
} // namespace
