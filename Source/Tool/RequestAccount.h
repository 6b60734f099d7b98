// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/Failure.h"
#include "Common/Json.h"
#include "Common/Units.h"
#include "Tool/LogFile.h"

namespace Tool
{
/// How a request ended for its caller: served, or the cause of its loss.
enum class Fate
{
  ServedInTime,    ///< Response or first event within the latency target of the route.
  ServedLate,      ///< Later than that.
  ServedUnjudged,  ///< The line does not state the latency target.
  WaitedForLoad,   ///< It waited for its model to be loaded.
  WaitedForPlace,  ///< It waited for a free place at a server that holds its model.
  WaitedForUnits,  ///< It waited for units of its client account, or the account had none.
  WaitedForOrigin, ///< It waited to learn where the stream that it resumes began.
  WaitedForConnection,
  FailedAtServer, ///< A server failed, broke off its response or sent an invalid one.
  RejectedByServer,
  RejectedOnArrival, ///< By a daemon that knew that it would not be served in time.
  RejectedAfterWait,
  RejectedTwice, ///< Its caller retried it after a rejection, and it was rejected again.
  EndedAtDeadline,
  Blocked,     ///< Servers that ran it have crashed.
  NotAdmitted, ///< No route, or no valid key.
  DaemonStopped,
  CallerLeft, ///< While a server had it, or for a reason of the caller's own.
};

/// All fates, in the order of the output.
const std::vector<Fate>& AllFates();
/// Name of the fate in JSON, such as "waited_for_load".
std::string_view ToString(Fate fate);
bool IsServed(Fate fate);

/// The fields of an `event=request` line that the account needs.
struct RequestLine
{
  std::string timestamp; ///< When the request ended, such as "2026-12-02T16:00:00.000".
  std::string id;        ///< Empty if the caller gave none.
  std::string route;
  std::string outcome;
  std::string why;
  std::string awaited; ///< What it waited for when it ended; empty if for nothing.
  std::int64_t arrivals = 0;
  Common::Milliseconds took{0};
  std::optional<Common::Milliseconds> first_event;
  std::optional<Common::Milliseconds> target; ///< Not in the lines of earlier versions.
  std::int64_t suppressed = 0;                ///< Lines that the daemon omitted before this one.
};

/// Reads the fields of an `event=request` line. Fails with InvalidInput if a field is missing or
/// malformed.
Common::Result<RequestLine> ReadRequestLine(const std::string& timestamp, const LogFields& fields);

/// The fate of a request that ended with this line and was not retried by its caller.
Fate Classify(const RequestLine& line);

/// Counts the requests in the logs of any number of daemons. The lines may come in any order. Lines
/// with the same id are attempts of one caller at one request, which counts once.
class RequestAccount
{
public:
  using Counts = std::map<Fate, std::int64_t>;

  static std::int64_t Total(const Counts& counts);

  struct Second
  {
    std::string second; ///< Such as "2026-12-02T16:00:00".
    std::map<std::string, Counts> by_route;
    std::int64_t lost = 0;
  };

  void AddRequest(const RequestLine& line);
  /// Adds an `event=store-calls` line. Fails with InvalidInput if a field is missing or malformed.
  Common::Result<Common::Done> AddStoreCalls(const LogFields& fields);
  /// Records a last line of a file that the daemon had not completed.
  void NoteCutLine() { ++m_cut_lines; }

  std::map<std::string, Counts> ByRoute() const;
  /// The seconds in which the most requests were lost, the worst first, `count` at most. A request
  /// belongs to the second in which its last attempt ended.
  std::vector<Second> WorstSeconds(std::size_t count) const;
  /// Calls by kind and result.
  const std::map<std::pair<std::string, std::string>, std::int64_t>& StoreCalls() const
  {
    return m_store_calls;
  }
  /// Request lines that the daemons omitted because they had too many; their requests are missing.
  std::int64_t SuppressedLines() const { return m_suppressed_lines; }
  std::int64_t CutLines() const { return m_cut_lines; }

  Common::Json ToJson(std::size_t seconds) const;

private:
  /// The attempts of one request: the one that was served, or the last one.
  struct Request
  {
    std::string timestamp;
    std::string route;
    Fate fate = Fate::CallerLeft;
    bool refused = false;
    int rejections = 0; ///< In all attempts.
  };

  static Fate FateOf(const Request& request);
  static void AddAttempt(Request& request, const RequestLine& line);
  /// Calls `visit` for each request.
  template <typename Visitor>
  void ForEach(Visitor visit) const;

  std::map<std::string, Request> m_by_id;
  std::vector<Request> m_without_id;
  std::map<std::pair<std::string, std::string>, std::int64_t> m_store_calls;
  std::int64_t m_suppressed_lines = 0;
  std::int64_t m_cut_lines = 0;
};
} // namespace Tool
