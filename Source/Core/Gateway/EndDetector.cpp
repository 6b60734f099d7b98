// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/EndDetector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Delay before the server is probed. Within it, a refused connection of another request already
/// shows that the server has exited. Data still received from the server proves nothing, since it
/// may have been written before the exit.
constexpr Milliseconds WORD_OF_OTHERS{100};
/// Time limit for the probe's connection. A timeout is inconclusive: the server may be on the other
/// side of a network partition.
constexpr Milliseconds PROBE_LIMIT{400};
/// A request that crashes a server does so shortly after it starts to run. A request that had been
/// running for longer is a suspect only if no newer one was in progress.
constexpr Milliseconds SOON{1000};

/// Returns the requests that may have caused the server to exit.
std::vector<EndDetector::Suspect> LikelyOf(const std::vector<EndDetector::Suspect>& suspects)
{
  const auto is_new = [](const EndDetector::Suspect& suspect) {
    return suspect.ran_for.value_or(Milliseconds(0)) <= SOON;
  };
  const bool any_new = std::ranges::any_of(suspects, is_new);
  std::vector<EndDetector::Suspect> likely;
  std::ranges::copy_if(suspects, std::back_inserter(likely), [&](const auto& suspect) {
    return !any_new || is_new(suspect);
  });
  return likely;
}
} // namespace

class EndDetector::Probe : public Http::StreamEvents
{
public:
  enum class Answer
  {
    Taken,
    Refused,
    None,
  };

  Probe(const Http::Endpoint& server, std::function<void(Answer)> on_answer)
      : m_on_answer(std::move(on_answer)), m_stream(Http::TcpStream::Connect(server, this))
  {
    m_limit.Start(m_stream ? PROBE_LIMIT : Milliseconds(0), [this] {
      m_on_answer(Answer::None);
    });
  }

  void OnConnected() override { AnswerSoon(Answer::Taken); }
  void OnBytes(std::string_view) override {}
  void OnEnd(Http::StreamEnd) override
  {
    if (!m_answered)
      AnswerSoon(Answer::Refused);
  }

private:
  /// Defers the callback, since it destroys the probe while its stream is still in a callback.
  void AnswerSoon(Answer answer)
  {
    m_answered = true;
    m_limit.Start(Milliseconds(0), [this, answer] {
      m_on_answer(answer);
    });
  }

  std::function<void(Answer)> m_on_answer;
  bool m_answered = false;
  Common::OwnedTimer m_limit;
  std::shared_ptr<Http::TcpStream> m_stream;
};

void EndDetector::NoteBroken(const ServerPtr& server, const Suspect& suspect)
{
  const InstanceId& instance = server->Entry().instance;
  // A server that shuts down as planned may break its remaining connections.
  const bool leaves =
      server->IsDraining() || server->IsReplaced() || m_servers.Find(instance) != server;
  if (leaves)
    return;
  const auto [found, is_new] = m_doubts.try_emplace(instance);
  Doubt& doubt = found->second;
  doubt.suspects.push_back(suspect);
  if (!is_new)
    return;
  doubt.server = server;
  doubt.since = Common::Now();
  doubt.timer.Start(WORD_OF_OTHERS, [this, instance] {
    Ask(instance);
  });
}

void EndDetector::NoteRefused(const ServerPtr& server)
{
  Settle(server->Entry().instance, true, "connection for a request refused");
}

void EndDetector::Ask(const InstanceId& instance)
{
  Doubt& doubt = m_doubts.at(instance);
  doubt.probe = std::make_shared<Probe>(
      doubt.server->Entry().endpoint, [this, instance](Probe::Answer answer) {
        if (answer == Probe::Answer::Refused)
          Settle(instance, true, "probe connection refused");
        else
          Settle(instance, false,
                 answer == Probe::Answer::Taken ? "probe connection accepted" : "silent");
      });
}

void EndDetector::Settle(const InstanceId& instance, bool ended, const char* how)
{
  const auto found = m_doubts.find(instance);
  if (found == m_doubts.end())
    return;
  // The caller may be a timer or probe owned by the extracted node, which is destroyed on return.
  const auto doubt = m_doubts.extract(found);
  const auto likely = LikelyOf(doubt.mapped().suspects);
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - doubt.mapped().since);
  Common::LogEvent(ended ? Common::LogLevel::Warning : Common::LogLevel::Info,
                   ended ? "server-ended" : "server-not-ended",
                   {{"instance", instance},
                    {"how", how},
                    {"broken", doubt.mapped().suspects.size()},
                    {"suspects", likely.size()},
                    {"after_ms", took.count()}});
  if (ended)
    m_on_ended(instance, doubt.mapped().since, likely);
  m_on_settled();
}

bool EndDetector::IsInDoubt(const Crashes::Fingerprint& request) const
{
  return std::ranges::any_of(m_doubts, [&](const auto& doubt) {
    return std::ranges::find(doubt.second.suspects, request, &Suspect::request) !=
           doubt.second.suspects.end();
  });
}
} // namespace Gateway
