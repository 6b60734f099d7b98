// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/Ledger.h"

#include <algorithm>
#include <iostream>

namespace Soak
{
namespace
{
/// Minimum time between the orders of two holders to one server: the platform's bound, less the
/// delays of a datagram and of this program's event loop.
constexpr Common::Milliseconds HOLDER_PAUSE{2900};

/// Daemons recognize a crashing request after this many crashes.
constexpr int KNOWN_AFTER_ENDS = 3;
/// Maximum time until all daemons that are not cut off have learned of a crash or a rate limit.
constexpr Common::Milliseconds CONTACT_TIME{3000};
/// Maximum number of arrivals of a crashing request after that time, over the whole run.
constexpr int LATE_ARRIVALS_ALLOWED = 3;

/// Within a window, a server gets at most its rate limit times this factor, plus the slack.
constexpr Common::Milliseconds LIMIT_WINDOW{4000};
constexpr double LIMIT_FACTOR = 1.5;
constexpr double LIMIT_SLACK = 5;

/// Maximum time from the announcement of a draining server to a daemon until that daemon sends it
/// none of the requests that callers send from then on.
constexpr Common::Milliseconds LEAVING_BOUND{2000};
/// After a server has asked a daemon to back off, requests may still arrive for this time, and this
/// many of them later.
constexpr Common::Milliseconds BACKOFF_LEEWAY{500};
constexpr int BACKOFF_ARRIVALS_ALLOWED = 2;

/// Returns whether the body consists of complete events for `id`, numbered from 1 without a gap.
/// Does not check how many there are.
bool IsWholeStream(const std::string& id, const std::string& body)
{
  std::string expected;
  for (int event = 1; expected.size() < body.size(); ++event)
    expected += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
  return !body.empty() && expected == body;
}
} // namespace

void Ledger::Break(const std::string& what)
{
  m_broken.push_back(what);
  std::cout << "BROKEN " << what << std::endl;
}

void Ledger::NoteRun(const std::string& id)
{
  const auto found = m_requests.find(id);
  if (found == m_requests.end())
  {
    Break("a server ran a request that no caller sent: " + id);
    return;
  }
  Request& request = found->second;
  ++request.runs;
  const bool once = request.type == RequestType::Once || request.type == RequestType::OnceStream;
  if (once && request.runs > 1)
    Break("non-repeatable request ran twice: " + id);
  if (once && request.promised_not_run)
    Break("ran after the caller was told that it had not run: " + id);
}

void Ledger::NoteAnswer(const std::string& id, int status, const std::string& body)
{
  Request& request = m_requests[id];
  const bool once = request.type == RequestType::Once || request.type == RequestType::OnceStream;
  if (status == 503 || status == 429)
  {
    ++m_refused;
    request.promised_not_run = true;
    if (once && request.runs > 0)
      Break("caller was told that it had not run, but it ran: " + id);
    return;
  }
  if (status != 200)
  {
    ++m_failed;
    return;
  }
  ++m_answered;
  const bool stream =
      request.type == RequestType::Stream || request.type == RequestType::OnceStream;
  const bool sound = stream ? IsWholeStream(id, body) : body == "answer to " + id;
  if (!sound)
    Break("wrong response to " + id + ": " + body.substr(0, 80));
}

void Ledger::NoteOrder(const std::string& server, const std::string& holder, std::int64_t fence,
                       Common::TimePoint now)
{
  ++m_orders;
  ServerOrders& last = m_servers[server];
  if (!last.holder.empty() && last.holder != holder && now - last.at < HOLDER_PAUSE)
    Break("two holders sent orders to " + server + " too close together: " + last.holder + ", " +
          holder);
  if (fence < last.fence)
    Break("order with an outdated fence at " + server);
  if (!last.holder.empty() && last.holder != holder && fence == last.fence)
    Break("two holders used the same fence at " + server);
  last = {holder, fence, now};
}

void Ledger::NoteLimit(const std::string& server, std::optional<double> per_second,
                       Common::TimePoint now)
{
  if (!per_second)
    m_limited.erase(server);
  else if (LimitedServer& limited = m_limited[server];
           limited.named_at == Common::TimePoint() || limited.per_second != *per_second)
    limited = {*per_second, now, {}, false};
}

void Ledger::NoteArrival(const std::string& server, const std::string& id, Common::TimePoint now)
{
  const auto found = m_limited.find(server);
  if (found == m_limited.end() || now - found->second.named_at < CONTACT_TIME)
    return;
  const auto disturbed = m_daemons_disturbed_until.find(m_requests[id].daemon);
  if (disturbed != m_daemons_disturbed_until.end() && now - disturbed->second < CONTACT_TIME)
    return;
  LimitedServer& limited = found->second;
  ++m_limited_arrivals;
  limited.arrivals.push_back(now);
  while (now - limited.arrivals.front() > LIMIT_WINDOW)
    limited.arrivals.pop_front();
  const double window_s = std::chrono::duration<double>(LIMIT_WINDOW).count();
  const double allowed = LIMIT_FACTOR * limited.per_second * window_s + LIMIT_SLACK;
  if (static_cast<double>(limited.arrivals.size()) <= allowed || limited.broken)
    return;
  limited.broken = true;
  Break("rate limit exceeded at " + server + ": " + std::to_string(limited.arrivals.size()) +
        " requests in a window, allowed " + std::to_string(allowed));
}

bool Ledger::HasRunSince(const std::string& daemon, Common::TimePoint moment) const
{
  const auto stopped = m_daemons_stopped_until.find(daemon);
  return stopped == m_daemons_stopped_until.end() || stopped->second < moment;
}

void Ledger::NoteAnnouncedEnd(const std::string& instance, const std::string& id,
                              Common::TimePoint now)
{
  Told& told = m_told[{instance, m_requests[id].daemon}];
  if (told.leaving_at && HasRunSince(m_requests[id].daemon, *told.leaving_at))
    return;
  told.leaving_at = now;
  ++m_told_of_leaving;
}

void Ledger::NoteRetryAfter(const std::string& instance, const std::string& id, double seconds,
                            Common::TimePoint now)
{
  const auto span =
      std::chrono::duration_cast<Common::Milliseconds>(std::chrono::duration<double>(seconds));
  m_told[{instance, m_requests[id].daemon}].backoffs.push_back({now, now + span, 0});
  ++m_told_to_back_off;
}

void Ledger::BreakByArrival(std::string what, const std::string& id, const std::string& instance)
{
  what.append(id).append(" at ").append(instance);
  what.append(" from ").append(m_requests[id].daemon);
  Break(what);
}

void Ledger::NoteArrivalInLife(const std::string& instance, const std::string& id,
                               Common::TimePoint now)
{
  const Request& request = m_requests[id];
  const auto found = m_told.find({instance, request.daemon});
  if (found == m_told.end())
    return;
  Told& told = found->second;
  if (told.leaving_at && request.sent_at > *told.leaving_at + LEAVING_BOUND &&
      HasRunSince(request.daemon, *told.leaving_at))
    BreakByArrival("request arrived at a draining server: ", id, instance);
  std::erase_if(told.backoffs, [now](const Told::Backoff& backoff) {
    return backoff.until <= now;
  });
  for (Told::Backoff& backoff : told.backoffs)
    if (now > backoff.from + BACKOFF_LEEWAY && HasRunSince(request.daemon, backoff.from) &&
        ++backoff.arrivals == BACKOFF_ARRIVALS_ALLOWED + 1)
      BreakByArrival("request arrived during a backoff: ", id, instance);
}

void Ledger::NoteDaemonStop(const std::string& daemon, Common::TimePoint until)
{
  Common::TimePoint& known = m_daemons_stopped_until[daemon];
  known = std::max(known, until);
}

void Ledger::NoteDaemonDisturbance(const std::string& daemon, Common::TimePoint until)
{
  Common::TimePoint& known = m_daemons_disturbed_until[daemon];
  known = std::max(known, until);
}

void Ledger::NoteDisturbance(Common::TimePoint until)
{
  m_disturbed_until = std::max(m_disturbed_until, until);
}

void Ledger::NoteCrash(const std::string& crasher, Common::TimePoint now)
{
  Crasher& known = m_crashers[crasher];
  if (++known.ends == KNOWN_AFTER_ENDS)
    known.third_end_at = now;
}

void Ledger::NoteCrasherArrival(const std::string& crasher, Common::TimePoint now)
{
  Crasher& known = m_crashers[crasher];
  ++known.arrivals;
  if (known.ends < KNOWN_AFTER_ENDS || now - known.third_end_at < CONTACT_TIME ||
      now - m_disturbed_until < CONTACT_TIME)
    return;
  if (++known.too_late == LATE_ARRIVALS_ALLOWED + 1)
    Break("crashing request was not blocked: " + crasher + ", " + std::to_string(known.ends) +
          " servers crashed");
}

std::string Ledger::DescribeCrashers() const
{
  std::string text;
  for (const auto& [name, crasher] : m_crashers)
    text += name + ": " + std::to_string(crasher.arrivals) + " arrivals, " +
            std::to_string(crasher.ends) + " servers crashed, " + std::to_string(crasher.too_late) +
            " late arrivals\n";
  return text;
}
} // namespace Soak
