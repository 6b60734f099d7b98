// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/ResumedStreams/StreamCallers.h"

#include <algorithm>
#include <utility>

#include "StandIns/Soak/StandInServer.h"

namespace ResumedStreams
{
namespace
{
using Common::Milliseconds;

constexpr int LEAST_SERVERS = 2;
/// How often a stream is taken up.
constexpr int MAX_TAKEN_UP = 6;
constexpr std::uint64_t BROKEN_PERCENT = 25;
constexpr std::uint64_t EARLY_LEAVE_PERCENT = 30;
constexpr std::uint64_t EARLY_LEAVE_MS = 10;
constexpr std::uint64_t LEAST_PAUSE_MS = 100;
constexpr Milliseconds MAX_RETRY_AFTER{1000};
constexpr Milliseconds PAUSE_WITHOUT_VM{200};
constexpr std::uint64_t MAX_PAUSE_BETWEEN_STREAMS_MS = 150;
/// Events between two departures of the same caller.
constexpr int EVENTS_BETWEEN_LEAVES = 3;
} // namespace

StreamCallers::StreamCallers(Common::Random random, CallerSurroundings surroundings,
                             CallerHabits habits, ResumptionChecker& checker)
    : m_random(random),
      m_surroundings(std::move(surroundings)),
      m_habits(habits),
      m_checker(checker)
{
}

void StreamCallers::Start(int callers)
{
  for (int i = 0; i < callers; ++i)
    OpenStream();
}

void StreamCallers::Stop()
{
  m_stopped = true;
  m_attempts.clear();
}

void StreamCallers::After(Milliseconds delay, std::function<void()> callback)
{
  Common::Reactor::Get().After(delay, [this, callback = std::move(callback)] {
    if (!m_stopped)
      callback();
  });
}

void StreamCallers::OpenStream()
{
  After(Milliseconds(Draw(MAX_PAUSE_BETWEEN_STREAMS_MS)), [this] {
    constexpr auto EVENTS = static_cast<std::uint64_t>(Soak::StandInServer::EVENTS_PER_STREAM);
    Stream stream;
    stream.attempts_left = 1 + MAX_TAKEN_UP;
    if (m_habits.models > 0)
      stream.model = "m" + std::to_string(Draw(static_cast<std::uint64_t>(m_habits.models)));
    const auto fate = Draw(100);
    const int event = 1 + static_cast<int>(Draw(EVENTS - 1));
    stream.body = "body";
    if (fate < BROKEN_PERCENT)
      stream.body = std::string(Soak::StandInServer::BREAKING_BODY_PREFIX) + std::to_string(event);
    else if (fate < BROKEN_PERCENT + m_habits.leave_percent)
    {
      stream.leaves_left = m_habits.leaves;
      stream.leave_after =
          m_habits.leaves == 1 ? event : 1 + static_cast<int>(Draw(EVENTS_BETWEEN_LEAVES));
    }
    if (m_habits.distinct_bodies)
      stream.body.append(" ").append(std::to_string(++m_stream_count));
    Send(std::move(stream));
  });
}

bool StreamCallers::HasServers(const Stream& stream) const
{
  return m_surroundings.ready_servers(stream.version) >= LEAST_SERVERS;
}

Http::CompleteRequest StreamCallers::MakeRequest(const Stream& stream, const std::string& id) const
{
  Http::CompleteRequest request{"POST",
                                "/stream/x",
                                {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "4000"}},
                                stream.body};
  if (!stream.model.empty())
    request.headers.push_back({"Model", stream.model});
  if (stream.last_event > 0)
  {
    request.headers.push_back({"Last-Event-Id", std::to_string(stream.last_event)});
    request.headers.push_back({"Resumes", stream.first_attempt});
  }
  return request;
}

void StreamCallers::Send(Stream stream)
{
  const bool takes_up = stream.last_event > 0;
  const auto vm = m_surroundings.draw_vm(stream.version);
  if (!vm)
  {
    After(PAUSE_WITHOUT_VM, [this, stream] {
      Send(stream);
    });
    return;
  }
  --stream.attempts_left;
  const auto place = m_attempts.emplace(m_attempts.end());
  place->id = "t" + std::to_string(++m_attempt_count);
  place->vm = *vm;
  place->faults_before = m_surroundings.faults(*vm);
  place->takes_up = takes_up;
  place->counts = HasServers(stream);
  if (m_surroundings.on_sent)
    m_surroundings.on_sent(place->id, *vm, stream.version);
  const auto request = MakeRequest(stream, place->id);
  place->stream = std::move(stream);
  StreamAttempt::Callbacks callbacks{[this, place](const StreamEvent& event) {
                                       OnEvent(place, event);
                                     },
                                     [this, place](const AttemptEnd& end) {
                                       OnEnd(place, end);
                                     }};
  place->attempt =
      std::make_unique<StreamAttempt>(m_surroundings.endpoint(*vm), request, std::move(callbacks));
  if (takes_up && m_habits.leaves_early && Draw(100) < EARLY_LEAVE_PERCENT)
    place->leave_timer.Start(Milliseconds(Draw(EARLY_LEAVE_MS)), [place] {
      place->attempt->Leave();
    });
}

void StreamCallers::Decide(OpenAttempt& attempt, bool succeeded, const std::string& reason)
{
  if (std::exchange(attempt.decided, true) || !attempt.counts || !HasServers(attempt.stream) ||
      m_surroundings.faults(attempt.vm) != attempt.faults_before)
    return;
  if (attempt.takes_up)
    m_checker.RecordTakenUp(attempt.id, succeeded, reason);
  else
    m_checker.RecordNew(attempt.id, succeeded, reason);
}

void StreamCallers::OnEvent(AttemptPlace place, const StreamEvent& event)
{
  Stream& stream = place->stream;
  if (stream.first_attempt.empty())
  {
    stream.first_attempt = place->id;
    stream.version = event.version;
  }
  if (event.version != stream.version)
    m_checker.RecordMixed(stream.first_attempt, place->id);
  stream.last_event = event.number;
  Decide(*place, true, "");
  if (stream.leaves_left > 0 && event.number >= stream.leave_after)
  {
    --stream.leaves_left;
    stream.leave_after = event.number + EVENTS_BETWEEN_LEAVES;
    place->attempt->Leave();
  }
}

void StreamCallers::OnEnd(AttemptPlace place, const AttemptEnd& end)
{
  const std::string status = end.status == 0 ? "" : std::to_string(end.status) + " ";
  if (end.reason != "the caller left")
    Decide(*place, end.complete, status + end.reason);
  const Stream stream = place->stream;
  // The attempt is still on the stack.
  const std::shared_ptr<StreamAttempt> ended = std::move(place->attempt);
  After(Milliseconds(0), [ended] {});
  m_attempts.erase(place);
  const bool is_over = end.complete || stream.last_event == 0 || stream.attempts_left == 0;
  if (!is_over)
    TakeUp(stream, end.retry_after);
  else if (!stream.is_copy)
    OpenStream();
}

void StreamCallers::TakeUp(const Stream& stream, Milliseconds retry_after)
{
  const auto longest = static_cast<std::uint64_t>(m_habits.longest_pause.count());
  const Milliseconds pause(LEAST_PAUSE_MS + Draw(longest - LEAST_PAUSE_MS));
  After(std::max(pause, std::min(retry_after, MAX_RETRY_AFTER)), [this, stream] {
    Send(stream);
    if (!m_habits.takes_up_twice || stream.is_copy)
      return;
    Stream copy = stream;
    copy.is_copy = true;
    copy.attempts_left = 1;
    Send(copy);
  });
}
} // namespace ResumedStreams
