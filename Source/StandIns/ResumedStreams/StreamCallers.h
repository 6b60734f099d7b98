// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "Common/Random.h"
#include "StandIns/ResumedStreams/ResumptionChecker.h"
#include "StandIns/ResumedStreams/StreamAttempt.h"

namespace ResumedStreams
{
/// What callers need to know of daemons and servers.
struct CallerSurroundings
{
  /// Draws a VM for a request; none if none is in touch. `version`: of the stream that it takes up;
  /// empty: it begins one.
  std::function<std::optional<std::size_t>(const std::string& version)> draw_vm;
  std::function<Http::Endpoint(std::size_t vm)> endpoint;
  /// The number of faults that the VM has had. An attempt during which it changes does not count.
  std::function<std::uint64_t(std::size_t vm)> faults;
  /// Servers of a version that take requests; of an empty one: of any.
  std::function<int(const std::string& version)> ready_servers;
  /// Called before an attempt is sent; may be empty.
  std::function<void(const std::string& id, std::size_t vm, const std::string& version)> on_sent =
      {};
};

/// How callers behave.
struct CallerHabits
{
  int models = 0; ///< That streams ask for; 0: streams without a model.
  int leaves = 1; ///< How often a caller that leaves its stream does so.
  std::uint64_t leave_percent = 33;
  bool leaves_early = false;               ///< Some attempts are left before their next event.
  bool distinct_bodies = false;            ///< No two streams have the same body.
  bool takes_up_twice = false;             ///< At two VMs at the same time.
  Common::Milliseconds longest_pause{400}; ///< Between a break and the next attempt.
};

/// Callers that open streams, leave some of them, and take up those that broke off at other VMs.
class StreamCallers
{
public:
  StreamCallers(Common::Random random, CallerSurroundings surroundings, CallerHabits habits,
                ResumptionChecker& checker);

  /// Starts so many callers, each of which opens one stream after the other.
  void Start(int callers);
  /// Opens no further stream and ends all attempts. Nothing more is counted.
  void Stop();

private:
  struct Stream
  {
    std::string first_attempt; ///< That brought the first event; empty before.
    std::string version;       ///< Of the first event.
    std::string model;
    std::string body;
    int last_event = 0;
    int leave_after = 0; ///< Number of the event after which the caller leaves; 0: it stays.
    int leaves_left = 0;
    int attempts_left = 0;
    bool is_copy = false; ///< A second attempt to take up another caller's stream.
  };
  struct OpenAttempt
  {
    Stream stream;
    std::string id;
    std::size_t vm = 0;
    std::uint64_t faults_before = 0;
    bool takes_up = false;
    bool counts = false; ///< At least two servers could take it when it was sent.
    bool decided = false;
    std::unique_ptr<StreamAttempt> attempt;
    Common::OwnedTimer leave_timer;
  };
  using AttemptPlace = std::list<OpenAttempt>::iterator;

  std::uint64_t Draw(std::uint64_t bound) { return m_random() % bound; }
  void After(Common::Milliseconds delay, std::function<void()> callback);
  void OpenStream();
  void Send(Stream stream);
  Http::CompleteRequest MakeRequest(const Stream& stream, const std::string& id) const;
  void OnEvent(AttemptPlace place, const StreamEvent& event);
  void OnEnd(AttemptPlace place, const AttemptEnd& end);
  /// Counts the attempt once it has brought an event or the end, or failed.
  void Decide(OpenAttempt& attempt, bool succeeded, const std::string& reason);
  void TakeUp(const Stream& stream, Common::Milliseconds retry_after);
  bool HasServers(const Stream& stream) const;

  Common::Random m_random;
  CallerSurroundings m_surroundings;
  CallerHabits m_habits;
  ResumptionChecker& m_checker;
  std::list<OpenAttempt> m_attempts;
  std::int64_t m_attempt_count = 0;
  std::int64_t m_stream_count = 0;
  bool m_stopped = false;
};
} // namespace ResumedStreams
