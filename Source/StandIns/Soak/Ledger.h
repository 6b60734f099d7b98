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
  Plain,      ///< May run more than once.
  Once,       ///< Runs at most once.
  Stream,     ///< May be resumed on another server.
  OnceStream, ///< Runs at most once.
};

/// Records what callers and backend servers observe, and reports each violation of an invariant.
class Ledger
{
public:
  void NoteSent(const std::string& id, RequestType type, const std::string& daemon)
  {
    m_requests[id].type = type;
    m_requests[id].daemon = daemon;
    m_requests[id].sent_at = Common::Now();
  }
  /// A backend server started to run the request.
  void NoteRun(const std::string& id);
  /// The caller got a complete response, or none (status 0).
  void NoteAnswer(const std::string& id, int status, const std::string& body);
  /// A backend server received an order.
  void NoteOrder(const std::string& server, const std::string& holder, std::int64_t fence,
                 Common::TimePoint now);
  /// A request that crashes the servers that run it has arrived at a server.
  void NoteCrasherArrival(const std::string& crasher, Common::TimePoint now);
  /// A server has crashed while it ran that request.
  void NoteCrash(const std::string& crasher, Common::TimePoint now);
  /// A backend server announces a rate limit from now on, in requests per second, or none.
  void NoteLimit(const std::string& server, std::optional<double> per_second,
                 Common::TimePoint now);
  /// A request has arrived at a backend server; checks the rate limit.
  void NoteArrival(const std::string& server, const std::string& id, Common::TimePoint now);
  /// An instance of a backend server has announced in the response to the request that it is
  /// draining.
  void NoteAnnouncedEnd(const std::string& instance, const std::string& id, Common::TimePoint now);
  /// The instance has rejected the request with a backoff of so many seconds for its daemon.
  void NoteRetryAfter(const std::string& instance, const std::string& id, double seconds,
                      Common::TimePoint now);
  /// A request has arrived at an instance of a backend server; checks draining and backoff.
  void NoteArrivalInLife(const std::string& instance, const std::string& id, Common::TimePoint now);
  /// The daemon is stopped or suspended until then.
  void NoteDaemonStop(const std::string& daemon, Common::TimePoint until);
  /// The daemon is stopped, suspended or cut off from the store until then.
  void NoteDaemonDisturbance(const std::string& daemon, Common::TimePoint until);
  /// Some daemon cannot reach other daemons or the store until then.
  void NoteDisturbance(Common::TimePoint until);
  /// Records and prints a violation.
  void Break(const std::string& what);

  const std::vector<std::string>& Broken() const { return m_broken; }
  std::int64_t Answered() const { return m_answered; }
  std::int64_t Refused() const { return m_refused; }
  std::int64_t Failed() const { return m_failed; }
  std::int64_t Orders() const { return m_orders; }
  /// Requests that arrived at servers whose rate limit the sending daemon had to know.
  std::int64_t LimitedArrivals() const { return m_limited_arrivals; }
  /// How often servers have announced to a daemon that they are draining, or asked it to back off.
  int ToldOfLeaving() const { return m_told_of_leaving; }
  int ToldToBackOff() const { return m_told_to_back_off; }
  /// One line per crashing request: its arrivals and the servers that it crashed.
  std::string DescribeCrashers() const;
  /// Resets the counts of responses; the recorded requests and violations stay.
  void ResetCounts() { m_answered = m_refused = m_failed = 0; }

private:
  struct Request
  {
    RequestType type = RequestType::Plain;
    std::string daemon; ///< That the request was sent to.
    Common::TimePoint sent_at;
    int runs = 0;
    bool promised_not_run = false; ///< The caller got status 429 or 503.
  };
  /// The last order that a server received.
  struct ServerOrders
  {
    std::string holder;
    std::int64_t fence = 0;
    Common::TimePoint at;
  };

  struct Crasher
  {
    int ends = 0;     ///< Servers that crashed while they ran it.
    int arrivals = 0; ///< Requests that arrived at servers.
    int too_late = 0; ///< Arrivals at a time when all daemons had to know of the third crash.
    Common::TimePoint third_end_at;
  };

  struct LimitedServer
  {
    double per_second = 0;
    Common::TimePoint named_at;
    std::deque<Common::TimePoint> arrivals; ///< Within the last window.
    bool broken = false;
  };

  /// What one instance of a server has announced to one daemon.
  struct Told
  {
    struct Backoff
    {
      Common::TimePoint from;
      Common::TimePoint until;
      int arrivals = 0;
    };
    std::optional<Common::TimePoint> leaving_at;
    std::vector<Backoff> backoffs;
  };

  /// Reports a request that arrived at a server that must not get it.
  void BreakByArrival(std::string what, const std::string& id, const std::string& instance);
  /// Returns whether the daemon has been neither stopped nor suspended since the given time.
  bool HasRunSince(const std::string& daemon, Common::TimePoint moment) const;

  std::map<std::pair<std::string, std::string>, Told> m_told; ///< By instance and daemon.
  std::map<std::string, Common::TimePoint> m_daemons_stopped_until;
  int m_told_of_leaving = 0;
  int m_told_to_back_off = 0;
  std::map<std::string, LimitedServer> m_limited;
  std::map<std::string, Common::TimePoint> m_daemons_disturbed_until;
  std::map<std::string, Request> m_requests;
  std::map<std::string, ServerOrders> m_servers;
  std::map<std::string, Crasher> m_crashers;
  Common::TimePoint m_disturbed_until;
  std::vector<std::string> m_broken;
  std::int64_t m_answered = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_failed = 0;
  std::int64_t m_orders = 0;
  std::int64_t m_limited_arrivals = 0;
};
} // namespace Soak
