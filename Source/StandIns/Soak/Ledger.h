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
/// What may be asked of the daemons.
enum class RequestType
{
  Plain,      ///< May be repeated.
  Once,       ///< Runs once at most.
  Stream,     ///< May be resumed.
  OnceStream, ///< Runs once at most.
};

/// Keeps account of what callers and backend servers saw, and names each broken promise.
class Ledger
{
public:
  void NoteSent(const std::string& id, RequestType type, const std::string& daemon)
  {
    m_requests[id].type = type;
    m_requests[id].daemon = daemon;
    m_requests[id].sent_at = Common::Now();
  }
  /// A backend server began to work on the request.
  void NoteRun(const std::string& id);
  /// The caller got a whole answer, or (status 0) none.
  void NoteAnswer(const std::string& id, int status, const std::string& body);
  /// A backend server took an order.
  void NoteOrder(const std::string& server, const std::string& holder, std::int64_t fence,
                 Common::TimePoint now);
  /// A request that ends the servers that run it has reached a server.
  void NoteCrasherArrival(const std::string& crasher, Common::TimePoint now);
  /// A server has ended under it.
  void NoteCrash(const std::string& crasher, Common::TimePoint now);
  /// A backend server names a limit from now on, in requests a second, or none.
  void NoteLimit(const std::string& server, std::optional<double> per_second,
                 Common::TimePoint now);
  /// A request has reached a backend server.
  void NoteArrival(const std::string& server, const std::string& id, Common::TimePoint now);
  /// A life of a backend server has told the request's daemon in an answer that it leaves.
  void NoteAnnouncedEnd(const std::string& instance, const std::string& id, Common::TimePoint now);
  /// It has rejected the request and wants none of its daemon for so many seconds.
  void NoteRetryAfter(const std::string& instance, const std::string& id, double seconds,
                      Common::TimePoint now);
  /// A request has reached a life of a backend server.
  void NoteArrivalInLife(const std::string& instance, const std::string& id, Common::TimePoint now);
  /// Until then the daemon is restarted or stands still.
  void NoteDaemonStop(const std::string& daemon, Common::TimePoint until);
  /// Until then the daemon is restarted, stands still or is cut off.
  void NoteDaemonDisturbance(const std::string& daemon, Common::TimePoint until);
  /// Until then some daemon is not in touch with the others or the store.
  void NoteDisturbance(Common::TimePoint until);
  void Break(const std::string& what);

  const std::vector<std::string>& Broken() const { return m_broken; }
  std::int64_t Answered() const { return m_answered; }
  std::int64_t Refused() const { return m_refused; }
  std::int64_t Failed() const { return m_failed; }
  std::int64_t Orders() const { return m_orders; }
  /// Requests that servers got whose limit all daemons had to know, and the most that they would
  /// have taken.
  std::int64_t LimitedArrivals() const { return m_limited_arrivals; }
  /// How often servers have told a daemon that they leave, or want no requests.
  int ToldOfLeaving() const { return m_told_of_leaving; }
  int ToldToBackOff() const { return m_told_to_back_off; }
  /// A line a request that ends servers: how often it arrived, and how many ended.
  std::string DescribeCrashers() const;
  /// Forgets the counts, not the promises.
  void ResetCounts() { m_answered = m_refused = m_failed = 0; }

private:
  struct Request
  {
    RequestType type = RequestType::Plain;
    std::string daemon; ///< That was asked.
    Common::TimePoint sent_at;
    int runs = 0;
    bool promised_not_run = false;
  };
  struct ServerOrders
  {
    std::string holder;
    std::int64_t fence = 0;
    Common::TimePoint at;
  };

  struct Crasher
  {
    int ends = 0;     ///< Of servers, under it.
    int arrivals = 0; ///< At servers.
    int too_late = 0; ///< Arrivals when all daemons had to know of the third end.
    Common::TimePoint third_end_at;
  };

  struct LimitedServer
  {
    double per_second = 0;
    Common::TimePoint named_at;
    std::deque<Common::TimePoint> arrivals; ///< Of the last window.
    bool broken = false;
  };

  /// What one life of a server has told one daemon.
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

  void BreakByArrival(std::string what, const std::string& id, const std::string& instance);
  /// True where the daemon has run on since the moment.
  bool HasRunSince(const std::string& daemon, Common::TimePoint moment) const;

  std::map<std::pair<std::string, std::string>, Told> m_told; ///< By life and daemon.
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
