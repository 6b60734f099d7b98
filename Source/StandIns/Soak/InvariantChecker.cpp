// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/InvariantChecker.h"

#include <algorithm>
#include <iostream>

namespace Soak
{
namespace
{
/// Minimum time between the orders of two holders to one server: the platform's bound, less the
/// delays of a datagram and of this program's event loop.
constexpr Common::Milliseconds MIN_HOLDER_GAP{2900};

/// Daemons recognize a crashing request after this many crashes.
constexpr int RECOGNIZED_AFTER_CRASHES = 3;
/// The same for a part of prompts, which arrives in requests that differ.
constexpr int PART_RECOGNIZED_AFTER_CRASHES = 5;
/// Maximum time until all daemons that are not cut off have learned of a crash or a rate limit.
constexpr Common::Milliseconds PROPAGATION_TIME{3000};
/// Maximum number of arrivals of a crashing request after that time, over the whole run.
constexpr int MAX_LATE_ARRIVALS = 3;

/// Within a window, a server gets at most its rate limit times this factor, plus the slack.
constexpr Common::Milliseconds RATE_WINDOW{4000};
constexpr double RATE_FACTOR = 1.5;
constexpr double RATE_SLACK = 5;

/// A draining server must not get requests that callers send to a daemon later than this after the
/// server's announcement to that daemon.
constexpr Common::Milliseconds DRAIN_PROPAGATION_TIME{2000};
/// After a server has asked a daemon to back off, requests may still arrive for this time, and this
/// many of them later.
constexpr Common::Milliseconds BACKOFF_GRACE{500};
constexpr int MAX_BACKOFF_ARRIVALS = 2;

/// Returns whether the body consists of complete events for `id`, numbered from 1 without a gap; of
/// `required` events, unless that is 0. With `names_version`, all events name the same version.
bool IsCompleteStream(const std::string& id, const std::string& body, int required,
                      bool names_version)
{
  const std::string first = std::string("id: 1\ndata: ").append(id);
  const auto first_end = std::min(body.find("\n\n"), body.size());
  const std::string version = names_version && body.starts_with(first) && body[first.size()] == ' '
                                  ? body.substr(first.size(), first_end - first.size())
                                  : "";
  if (names_version && version.empty())
    return false;
  std::string expected;
  for (int event = 1; expected.size() < body.size() || event <= required; ++event)
    expected.append("id: ")
        .append(std::to_string(event))
        .append("\ndata: ")
        .append(id)
        .append(version)
        .append("\n\n");
  return !body.empty() && expected == body;
}
} // namespace

bool InvariantChecker::IsRefusal(int status)
{
  return status == 503 || status == 429 || status == 421 || status == 408;
}

void InvariantChecker::ReportViolation(const std::string& what)
{
  m_violations.push_back(what);
  std::cout << "BROKEN " << what << std::endl;
}

void InvariantChecker::RecordRun(const std::string& id)
{
  const auto found = m_requests.find(id);
  if (found == m_requests.end())
  {
    ReportViolation("a server ran a request that no caller sent: " + id);
    return;
  }
  Request& request = found->second;
  ++request.runs;
  const bool is_non_repeatable = request.type == RequestType::NonRepeatable ||
                                 request.type == RequestType::NonRepeatableStream;
  if (is_non_repeatable && request.runs > 1)
    ReportViolation("non-repeatable request ran twice: " + id);
  if (is_non_repeatable && request.reported_not_run)
    ReportViolation("ran after the caller was told that it had not run: " + id);
}

void InvariantChecker::RecordResponse(const std::string& id, int status, const std::string& body)
{
  Request& request = m_requests[id];
  const bool is_non_repeatable = request.type == RequestType::NonRepeatable ||
                                 request.type == RequestType::NonRepeatableStream;
  if (IsRefusal(status))
  {
    ++m_refused;
    request.reported_not_run = true;
    if (is_non_repeatable && request.runs > 0)
      ReportViolation("caller was told that it had not run, but it ran: " + id);
    return;
  }
  if (status != 200)
  {
    ++m_failed;
    if (status == 500 && body != "failure of " + id)
      ReportViolation("wrong failure of " + id + ": " + body.substr(0, 80));
    return;
  }
  ++m_served;
  const bool is_stream = request.type == RequestType::ResumableStream ||
                         request.type == RequestType::NonRepeatableStream;
  const bool is_valid = is_stream
                            ? IsCompleteStream(id, body, m_required_events, m_events_name_versions)
                            : body == "answer to " + id;
  if (!is_valid)
    ReportViolation("wrong response to " + id + ": " + body.substr(0, 80));
}

void InvariantChecker::RecordMalformedResponse(const std::string& id)
{
  ++m_failed;
  ReportViolation("bytes that are no response to " + id);
}

void InvariantChecker::RecordOrder(const std::string& server, const std::string& holder,
                                   std::int64_t fence, Common::TimePoint now)
{
  ++m_orders;
  LastOrder& last = m_last_orders[server];
  if (!last.holder.empty() && last.holder != holder && now - last.received_at < MIN_HOLDER_GAP)
    ReportViolation("two holders sent orders to " + server + " too close together: " + last.holder +
                    ", " + holder);
  if (fence < last.fence)
    ReportViolation("order with an outdated fence at " + server);
  if (!last.holder.empty() && last.holder != holder && fence == last.fence)
    ReportViolation("two holders used the same fence at " + server);
  last = {holder, fence, now};
}

void InvariantChecker::RecordRateLimit(const std::string& server, std::optional<double> per_second,
                                       Common::TimePoint now)
{
  if (!per_second)
    m_rate_limited_servers.erase(server);
  else if (RateLimitedServer& limited = m_rate_limited_servers[server];
           limited.announced_at == Common::TimePoint() || limited.per_second != *per_second)
    limited = {*per_second, now, {}, false};
}

void InvariantChecker::RecordArrival(const std::string& server, const std::string& id,
                                     Common::TimePoint now)
{
  const auto found = m_rate_limited_servers.find(server);
  if (found == m_rate_limited_servers.end() || now - found->second.announced_at < PROPAGATION_TIME)
    return;
  const auto last_fault = m_daemon_faults_until.find(m_requests[id].daemon);
  if (last_fault != m_daemon_faults_until.end() && now - last_fault->second < PROPAGATION_TIME)
    return;
  RateLimitedServer& limited = found->second;
  ++m_rate_limited_arrivals;
  limited.arrivals.push_back(now);
  while (now - limited.arrivals.front() > RATE_WINDOW)
    limited.arrivals.pop_front();
  const double window_s = std::chrono::duration<double>(RATE_WINDOW).count();
  const double allowed = RATE_FACTOR * limited.per_second * window_s + RATE_SLACK;
  if (static_cast<double>(limited.arrivals.size()) <= allowed || limited.violation_reported)
    return;
  limited.violation_reported = true;
  ReportViolation("rate limit exceeded at " + server + ": " +
                  std::to_string(limited.arrivals.size()) + " requests in a window, allowed " +
                  std::to_string(allowed));
}

bool InvariantChecker::HasRunSince(const std::string& daemon, Common::TimePoint moment) const
{
  const auto last_stop = m_daemon_stops_until.find(daemon);
  return last_stop == m_daemon_stops_until.end() || last_stop->second < moment;
}

void InvariantChecker::RecordDrainAnnouncement(const std::string& instance, const std::string& id,
                                               Common::TimePoint now)
{
  Announcements& announcements = m_announcements[{instance, m_requests[id].daemon}];
  if (announcements.draining_at && HasRunSince(m_requests[id].daemon, *announcements.draining_at))
    return;
  announcements.draining_at = now;
  ++m_drain_announcements;
}

void InvariantChecker::RecordRetryAfter(const std::string& instance, const std::string& id,
                                        double seconds, Common::TimePoint now)
{
  const auto span =
      std::chrono::duration_cast<Common::Milliseconds>(std::chrono::duration<double>(seconds));
  m_announcements[{instance, m_requests[id].daemon}].backoffs.push_back({now, now + span, 0});
  ++m_backoff_announcements;
}

void InvariantChecker::ReportForbiddenArrival(std::string what, const std::string& id,
                                              const std::string& instance)
{
  what.append(id).append(" at ").append(instance);
  what.append(" from ").append(m_requests[id].daemon);
  ReportViolation(what);
}

void InvariantChecker::RecordArrivalAtInstance(const std::string& instance, const std::string& id,
                                               Common::TimePoint now)
{
  const Request& request = m_requests[id];
  const auto found = m_announcements.find({instance, request.daemon});
  if (found == m_announcements.end())
    return;
  Announcements& announcements = found->second;
  if (announcements.draining_at &&
      request.sent_at > *announcements.draining_at + DRAIN_PROPAGATION_TIME &&
      HasRunSince(request.daemon, *announcements.draining_at))
    ReportForbiddenArrival("request arrived at a draining server: ", id, instance);
  std::erase_if(announcements.backoffs, [now](const Announcements::Backoff& backoff) {
    return backoff.until <= now;
  });
  for (Announcements::Backoff& backoff : announcements.backoffs)
    if (now > backoff.from + BACKOFF_GRACE && HasRunSince(request.daemon, backoff.from) &&
        ++backoff.arrivals == MAX_BACKOFF_ARRIVALS + 1)
      ReportForbiddenArrival("request arrived during a backoff: ", id, instance);
}

void InvariantChecker::RecordDaemonStop(const std::string& daemon, Common::TimePoint until)
{
  Common::TimePoint& known = m_daemon_stops_until[daemon];
  known = std::max(known, until);
}

void InvariantChecker::RecordDaemonFault(const std::string& daemon, Common::TimePoint until)
{
  Common::TimePoint& known = m_daemon_faults_until[daemon];
  known = std::max(known, until);
}

void InvariantChecker::RecordFault(Common::TimePoint until)
{
  m_fault_until = std::max(m_fault_until, until);
}

int InvariantChecker::CrashesToRecognize(const std::string& body)
{
  return body == CRASHING_PART ? PART_RECOGNIZED_AFTER_CRASHES : RECOGNIZED_AFTER_CRASHES;
}

void InvariantChecker::RecordCrash(const std::string& body, Common::TimePoint now)
{
  CrashingRequest& known = m_crashing_requests[body];
  if (++known.crashes == CrashesToRecognize(body))
    known.recognizable_since = now;
}

void InvariantChecker::RecordCrashingRequestArrival(const std::string& body, Common::TimePoint now)
{
  CrashingRequest& known = m_crashing_requests[body];
  ++known.arrivals;
  if (known.crashes < CrashesToRecognize(body) ||
      now - known.recognizable_since < PROPAGATION_TIME || now - m_fault_until < PROPAGATION_TIME)
    return;
  if (++known.late_arrivals == MAX_LATE_ARRIVALS + 1)
    ReportViolation("crashing request was not blocked: " + body + ", " +
                    std::to_string(known.crashes) + " servers crashed");
}

std::string InvariantChecker::DescribeCrashingRequests() const
{
  std::string text;
  for (const auto& [body, request] : m_crashing_requests)
    text += body + ": " + std::to_string(request.arrivals) + " arrivals, " +
            std::to_string(request.crashes) + " servers crashed, " +
            std::to_string(request.late_arrivals) + " late arrivals\n";
  return text;
}
} // namespace Soak
