// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Crashes/CrashCase.h"

namespace Crashes
{
/// Cases that changed within a range of a ledger's revisions.
struct CaseNews
{
  std::uint64_t from = 0; ///< Last revision before the range.
  std::uint64_t to = 0;   ///< Last revision of the range.
  std::vector<CaseLine> lines;
};

/// Whether a request is blocked, and the evidence against it.
struct Judgement
{
  bool blocked = false;
  Common::Milliseconds blocked_for{0};
  int endings = 0; ///< Server exits that count against the request.
};

/// Tracks which requests were in progress on servers that exited, and blocks those that repeatedly
/// crash servers. It has no clock or I/O of its own; times are passed in. Merging what other
/// daemons observed is commutative and idempotent.
///
/// All requests in progress on a server when it exits are suspects; the exits of several servers
/// separate the cause from the bystanders. A successful completion on any server clears a request,
/// also for exits in the next seconds, and raises the number of exits needed to block it. Servers
/// that exit together, such as those of one rack, count once: an exit counts only if the request
/// was sent to the server after the previous counted exit. Three counted exits block a request for
/// a time. After that it is tried again, and one more exit blocks it for twice as long.
class CrashLedger
{
public:
  /// Exits after which a request is blocked. The platform requires this number.
  static constexpr int ENDINGS_TO_BLOCK = 3;
  /// The same for a request that has completed successfully before. Such a request is sent often
  /// and runs on many servers, so it is more often a bystander.
  static constexpr int ENDINGS_OF_SURVIVOR = 5;
  /// Exits within this time after a successful completion do not count. This also delays the
  /// detection of a request that starts to crash servers after a release by as many seconds.
  static constexpr Common::Milliseconds TRUSTED_FOR{15000};
  /// Duration of the first block. Each later one is twice as long, up to the longest. A fixed
  /// engine serves the request again after the block expires.
  static constexpr Common::Milliseconds FIRST_BLOCK{std::chrono::minutes(10)};
  static constexpr Common::Milliseconds LONGEST_BLOCK{std::chrono::hours(6)};
  /// A case is removed this long after its last change or the end of its block.
  static constexpr Common::Milliseconds MEMORY{std::chrono::hours(1)};
  /// Maximum number of cases, about 2 MB. Beyond it, those with the fewest exits are evicted first.
  static constexpr std::size_t MAX_CASES = 4096;

  explicit CrashLedger(int endings_to_block = ENDINGS_TO_BLOCK)
      : m_endings_to_block(endings_to_block)
  {
  }

  /// Records that a server exited while it processed the request. `survived_at` is the last
  /// successful completion of the request known to this daemon.
  void NoteEnding(const Fingerprint& request, const ServerLife& server, const Common::VmId& seen_by,
                  Common::TimePoint sent_at, Common::TimePoint ended_at,
                  std::optional<Common::TimePoint> survived_at = std::nullopt);
  /// Records a successful completion of the request.
  void NoteSurvival(const Fingerprint& request, Common::TimePoint now);
  /// Records a successful completion from before the case was known to this daemon.
  void NoteEarlierSurvival(const Fingerprint& request, Common::TimePoint survived_at,
                           Common::TimePoint now);
  /// Merges the state of a case received from another daemon.
  void Merge(const CaseLine& line, Common::TimePoint now);
  /// Returns the requests that have been blocked since the last call.
  std::vector<Fingerprint> TakeNewlyBlocked() { return std::exchange(m_newly_blocked, {}); }

  bool Empty() const { return m_cases.empty(); }
  /// False if no known request has this key, so that the fingerprint need not be computed.
  bool MayKnow(QuickKey key) const { return m_keys.contains(key); }
  Judgement Judge(const Fingerprint& request, Common::TimePoint now) const;

  /// Increases whenever a case changes.
  std::uint64_t Revision() const { return m_revision; }
  /// Increases whenever this daemon itself records an observation.
  std::uint64_t OwnRevision() const { return m_own_revision; }
  /// Cases with observations of this daemon itself, oldest change first, up to `max_bytes`.
  CaseNews SeenHereSince(std::uint64_t revision, std::size_t max_bytes,
                         Common::TimePoint now) const;
  /// Cases that are shared with all daemons, oldest change first, up to `max_bytes`.
  CaseNews NewsSince(std::uint64_t revision, std::size_t max_bytes, Common::TimePoint now) const;
  /// Cases that have at least `least_endings` exits or were ever blocked; blocked ones first.
  std::vector<CaseLine> Worst(std::size_t least_endings, Common::TimePoint now) const;
  std::size_t Cases() const { return m_cases.size(); }
  std::size_t Blocked(Common::TimePoint now) const;
  std::optional<CaseLine> Find(const Fingerprint& request, Common::TimePoint now) const;

private:
  struct Ending
  {
    Common::TimePoint at;
    Common::TimePoint sent_at; ///< When the request was first sent to the server.
    std::set<Common::VmId> seen_by;
  };
  struct Case
  {
    std::map<ServerLife, Ending> endings;
    std::optional<Common::TimePoint> survived_at;
    Common::TimePoint blocked_at;
    Common::TimePoint blocked_until; ///< In the past if it was never blocked.
    int blocks = 0;
    Common::TimePoint changed_at;
    std::uint64_t revision = 0;
    std::uint64_t own_revision = 0;

    bool IsBlocked(Common::TimePoint now) const { return now < blocked_until; }
  };

  Case& Open(const Fingerprint& request);
  void Touch(Case& entry, Common::TimePoint now);
  static bool AddEnding(Case& entry, const ServerLife& server, const Ending& ending);
  static void Clear(Case& entry, Common::TimePoint survived_at);
  int EndingsThatCount(const Case& entry) const;
  int EndingsToBlock(const Case& entry) const
  {
    return entry.survived_at ? ENDINGS_OF_SURVIVOR : m_endings_to_block;
  }
  static bool IsBlockedTooEarly(const Case& entry);
  /// Blocks the request if enough exits count against it.
  void BlockIfDue(const Fingerprint& request, Common::TimePoint now);
  void Forget(const Fingerprint& request);
  void Prune(Common::TimePoint now);
  static CaseLine LineOf(const Fingerprint& request, const Case& entry, Common::TimePoint now);
  static bool ConcernsAll(const Case& entry);
  using ByRevision = std::map<std::uint64_t, std::pair<const Fingerprint*, const Case*>>;
  /// Adds the cases in `changed` to `news` in the order of their revisions, up to `max_bytes`.
  static void Fill(CaseNews& news, const ByRevision& changed, std::size_t max_bytes,
                   Common::TimePoint now);

  int m_endings_to_block;
  std::map<Fingerprint, Case> m_cases;
  std::multiset<QuickKey> m_keys;
  std::vector<Fingerprint> m_newly_blocked;
  std::uint64_t m_revision = 0;
  std::uint64_t m_own_revision = 0;
  Common::TimePoint m_pruned_at;
};
} // namespace Crashes
