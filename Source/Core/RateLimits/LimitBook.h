// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateLimits/Messages.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// A limit has begun, changed or ended.
struct LimitChange
{
  ServerKey server;
  std::optional<RequestRate> before;
  std::optional<RequestRate> rate;
};

/// The servers' limits as one daemon knows them.
///
/// The holder of the order lease numbers the changes of each limit, and daemons tell it what they
/// read together with the last number that they knew. Which of two answers is newer follows from
/// that and not from any clock: an answer shows that a limit has risen or ended only where its
/// request was sent after the limit had become known. A lower limit holds at once, whichever answer
/// names it.
class LimitBook
{
public:
  std::optional<RequestRate> InForce(ServerKey server) const;
  /// Since when the server has had some limit, without a pause.
  std::optional<Common::TimePoint> LimitedSince(ServerKey server) const;
  bool Empty() const { return m_entries.empty(); }
  /// Rises with each change of a limit.
  std::uint64_t Revision() const { return m_revision; }

  /// An answer to a request that this daemon sent at `sent_at`.
  std::optional<LimitChange> NoteAnswer(ServerKey server, const LimitReading& reading,
                                        Common::TimePoint sent_at, Common::TimePoint now);
  /// What the holder does not know yet.
  std::vector<LimitObservation> Unconfirmed(Common::TimePoint now) const;
  /// What the holder announced.
  std::vector<LimitChange> TakeNews(std::int64_t tenure, const LimitNews& news,
                                    Common::TimePoint now);

  /// This daemon is the holder from now on; what it knows is what it tells.
  void BeginTenure(std::int64_t tenure);
  void EndTenure() { m_is_holder = false; }
  /// What a daemon read that follows the holder of `tenure`.
  std::vector<LimitChange> TakeObservations(std::int64_t tenure,
                                            std::span<const LimitObservation> observations,
                                            Common::TimePoint now);
  /// The next part of all limits for all daemons, and from the beginning again; limits that ended
  /// are told for a while.
  LimitNews NextNews(std::size_t max_lines, Common::TimePoint now);

  /// Forgets servers that are gone.
  void Retain(const std::function<bool(ServerKey)>& is_known);

private:
  struct Entry
  {
    std::optional<RequestRate> rate;
    Common::TimePoint learned_at;    ///< When `rate` became known here.
    Common::TimePoint limited_since; ///< Where there is a rate.
    std::uint32_t version = 0;       ///< The holder's last change that is known here.
    bool confirmed = true;           ///< The holder knows `rate`.
  };

  LimitChange Set(ServerKey server, Entry& entry, std::optional<RequestRate> rate,
                  Common::TimePoint now);

  std::map<ServerKey, Entry> m_entries;
  std::uint64_t m_revision = 0;
  ServerKey m_told_up_to = FIRST_KEY; ///< By the news before.
  std::int64_t m_tenure = 0;
  bool m_is_holder = false;
};
} // namespace RateLimits
