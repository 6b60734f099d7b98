// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Common/Units.h"

namespace Decisions
{
/// Tracks what one daemon observes of each replica: the requests that were sent and have no first
/// event yet, and the latest first event. Shows which replicas serve no request in time.
///
/// Guards against this load pattern: servers with large batches accept all requests of a replica
/// that has stopped serving them, so that none of them waits at a VM and no other server gets them.
class ReplicaProgress
{
public:
  using ReplicaId = std::pair<Common::VmId, std::string>; ///< Server, model.

  /// What is known of a replica is used for this long: a few request timeouts.
  static constexpr Common::Milliseconds MEMORY{30000};
  /// A longer gap between two ticks means that the process has not run and has not read what
  /// arrived in the meantime.
  static constexpr Common::Milliseconds MAX_TICK_GAP{1000};

  void NoteSent(const ReplicaId& replica, std::uint64_t request, Common::TimePoint now);
  /// Records the first event of the request; without effect if it is not open.
  void NoteFirstEvent(const ReplicaId& replica, std::uint64_t request, Common::TimePoint now);
  /// Records that the request has ended; without effect if it is not open.
  void NoteEnded(const ReplicaId& replica, std::uint64_t request);
  /// Records that the request has ended without a first event although it had waited for longer
  /// than its latency target. The replica counts as late until its next first event: otherwise each
  /// end of the oldest request would admit new ones for another latency target.
  void NoteGivenUp(const ReplicaId& replica, std::uint64_t request, Common::TimePoint now);
  /// To be called at least every MAX_TICK_GAP while requests have no first event. After a longer
  /// gap all lateness is discarded. Drops replicas of which nothing recent is known.
  void NoteTick(Common::TimePoint now);
  /// Discards all that is known of the replicas of a server.
  void Forget(const Common::VmId& server);

  /// True if the oldest request without a first event has waited for longer than the target, or one
  /// has been given up, and no first event has come within the target.
  bool IsLate(const ReplicaId& replica, Common::Milliseconds latency_target,
              Common::TimePoint now) const;
  /// Expected time to the first event of a request sent now; no value if nothing recent is known.
  std::optional<Common::Milliseconds> ExpectedFirstEvent(const ReplicaId& replica,
                                                         Common::TimePoint now) const;
  /// Requests sent to the replica that have no first event yet.
  std::size_t CountOpen(const ReplicaId& replica) const;
  /// True if any replica has requests without a first event.
  bool HasOpen() const;

private:
  struct FirstEvent
  {
    Common::TimePoint at;
    Common::Milliseconds took{0}; ///< Since the request was sent.
  };
  struct GivenUp
  {
    Common::TimePoint at;
    Common::Milliseconds waited{0};
  };
  struct State
  {
    std::map<std::uint64_t, Common::TimePoint> open; ///< When each request was sent.
    std::optional<FirstEvent> last;
    /// The longest wait of a request that was given up since the last first event.
    std::optional<GivenUp> given_up;
  };

  struct ClosedRequest
  {
    State& state; ///< Of its replica.
    Common::TimePoint sent_at;
  };

  const State* Find(const ReplicaId& replica) const;
  /// Removes the request from the open ones; no value if it is not open.
  std::optional<ClosedRequest> Close(const ReplicaId& replica, std::uint64_t request);
  /// How long the oldest request has been without a first event.
  std::optional<Common::Milliseconds> OldestWait(const State& state, Common::TimePoint now) const;

  std::map<ReplicaId, State> m_replicas;
  std::optional<Common::TimePoint> m_last_tick;
  Common::TimePoint m_discarded_at; ///< Waits count from then on.
};
} // namespace Decisions
