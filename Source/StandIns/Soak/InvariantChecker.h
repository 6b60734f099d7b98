// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Loop.h"

namespace Soak
{
/// The types of requests that the soak test sends.
enum class RequestType
{
  Repeatable,          ///< May run more than once.
  NonRepeatable,       ///< Runs at most once.
  ResumableStream,     ///< May be resumed on another server.
  NonRepeatableStream, ///< Runs at most once.
};

/// Records what callers and backend servers observe, and reports each violation of an invariant.
class InvariantChecker
{
public:
  /// True for a status which promises that the request has not run and never will.
  static bool IsRefusal(int status);
  void RecordSent(const std::string& id, RequestType type, const std::string& daemon)
  {
    m_requests[id].type = type;
    m_requests[id].daemon = daemon;
    m_requests[id].sent_at = Common::Now();
  }
  /// A backend server started to run the request.
  void RecordRun(const std::string& id);
  /// The caller got bytes that are no response.
  void RecordMalformedResponse(const std::string& id);
  /// From now on a stream counts as complete only with this number of events.
  void RequireEvents(int events) { m_required_events = events; }
  /// From now on each event of a stream names a software version, all events the same one.
  void RequireOneVersion() { m_events_name_versions = true; }
  /// The caller got a complete response, or none (status 0).
  void RecordResponse(const std::string& id, int status, const std::string& body);
  /// A backend server received an order.
  void RecordOrder(const std::string& server, const std::string& holder, std::int64_t fence,
                   Common::TimePoint now);
  /// Name of the prompt part that crashes servers, in place of a body.
  static constexpr std::string_view CRASHING_PART = "part of the prompt";
  /// A request that crashes the servers that run it has arrived at a server.
  void RecordCrashingRequestArrival(const std::string& body, Common::TimePoint now);
  /// A server has crashed while it ran that request.
  void RecordCrash(const std::string& body, Common::TimePoint now);
  /// A backend server announces a rate limit from now on, in requests per second, or none.
  void RecordRateLimit(const std::string& server, std::optional<double> per_second,
                       Common::TimePoint now);
  /// A request has arrived at a backend server; checks the rate limit.
  void RecordArrival(const std::string& server, const std::string& id, Common::TimePoint now);
  /// An instance of a backend server has announced in the response to the request that it is
  /// draining.
  void RecordDrainAnnouncement(const std::string& instance, const std::string& id,
                               Common::TimePoint now);
  /// The instance has rejected the request with a backoff of so many seconds for its daemon.
  void RecordRetryAfter(const std::string& instance, const std::string& id, double seconds,
                        Common::TimePoint now);
  /// A request has arrived at an instance of a backend server; checks draining and backoff.
  void RecordArrivalAtInstance(const std::string& instance, const std::string& id,
                               Common::TimePoint now);
  /// The daemon is stopped or suspended until then.
  void RecordDaemonStop(const std::string& daemon, Common::TimePoint until);
  /// The daemon is stopped, suspended or cut off from the store until then.
  void RecordDaemonFault(const std::string& daemon, Common::TimePoint until);
  /// Some daemon cannot reach other daemons or the store until then.
  void RecordFault(Common::TimePoint until);
  /// Records and prints a violation.
  void ReportViolation(const std::string& what);

  const std::vector<std::string>& Violations() const { return m_violations; }
  std::int64_t Served() const { return m_served; }
  std::int64_t Refused() const { return m_refused; }
  std::int64_t Failed() const { return m_failed; }
  std::int64_t Orders() const { return m_orders; }
  /// Requests that arrived at servers whose rate limit the sending daemon had to know.
  std::int64_t RateLimitedArrivals() const { return m_rate_limited_arrivals; }
  /// How often servers have announced to a daemon that they are draining, or asked it to back off.
  int DrainAnnouncements() const { return m_drain_announcements; }
  int BackoffAnnouncements() const { return m_backoff_announcements; }
  /// One line per crashing request: its arrivals and the servers that it crashed.
  std::string DescribeCrashingRequests() const;
  /// Resets the counts of responses; the recorded requests and violations stay.
  void ResetCounts() { m_served = m_refused = m_failed = 0; }

private:
  /// Crashes after which daemons recognize the body or part.
  static int CrashesToRecognize(const std::string& body);
  struct Request
  {
    RequestType type = RequestType::Repeatable;
    std::string daemon; ///< That the request was sent to.
    Common::TimePoint sent_at;
    int runs = 0;
    bool reported_not_run = false; ///< The caller got a status that says so.
  };
  /// The last order that a server received.
  struct LastOrder
  {
    std::string holder;
    std::int64_t fence = 0;
    Common::TimePoint received_at;
  };

  struct CrashingRequest
  {
    int crashes = 0;       ///< Servers that crashed while they ran it.
    int arrivals = 0;      ///< Requests that arrived at servers.
    int late_arrivals = 0; ///< Arrivals at a time when all daemons had to know of enough crashes.
    Common::TimePoint recognizable_since; ///< Since enough servers have crashed.
  };

  struct RateLimitedServer
  {
    double per_second = 0;
    Common::TimePoint announced_at;
    std::deque<Common::TimePoint> arrivals; ///< Within the last window.
    bool violation_reported = false;
  };

  /// What one instance of a server has announced to one daemon.
  struct Announcements
  {
    struct Backoff
    {
      Common::TimePoint from;
      Common::TimePoint until;
      int arrivals = 0;
    };
    std::optional<Common::TimePoint> draining_at;
    std::vector<Backoff> backoffs;
  };

  /// Reports a request that arrived at a server that must not get it.
  void ReportForbiddenArrival(std::string what, const std::string& id, const std::string& instance);
  /// Returns whether the daemon has been neither stopped nor suspended since the given time.
  bool HasRunSince(const std::string& daemon, Common::TimePoint moment) const;

  /// By instance and daemon.
  std::map<std::pair<std::string, std::string>, Announcements> m_announcements;
  std::map<std::string, Common::TimePoint> m_daemon_stops_until;
  int m_drain_announcements = 0;
  int m_backoff_announcements = 0;
  std::map<std::string, RateLimitedServer> m_rate_limited_servers;
  std::map<std::string, Common::TimePoint> m_daemon_faults_until;
  std::map<std::string, Request> m_requests;
  bool m_events_name_versions = false;
  int m_required_events = 0;
  std::map<std::string, LastOrder> m_last_orders;
  std::map<std::string, CrashingRequest> m_crashing_requests;
  Common::TimePoint m_fault_until;
  std::vector<std::string> m_violations;
  std::int64_t m_served = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_failed = 0;
  std::int64_t m_orders = 0;
  std::int64_t m_rate_limited_arrivals = 0;
};
} // namespace Soak
