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
/// Cases that changed within a span of a ledger's revisions.
struct CaseNews
{
  std::uint64_t from = 0; ///< The cases that changed after this revision,
  std::uint64_t to = 0;   ///< up to this one, are all here.
  std::vector<CaseLine> lines;
};

/// What is to be done with a request.
struct Judgement
{
  bool blocked = false;
  Common::Milliseconds blocked_for{0};
  int endings = 0; ///< Servers' lives that count against the request.
};

/// Which requests had servers end under them, and which of those no server gets any more. Pure:
/// time is a parameter. What is learned from others is merged in any order, also twice.
///
/// Who is to blame: all requests that a server had when it ended are suspected. Others' lives tell
/// them apart. A request that has run to a good end anywhere is cleared, also of the next seconds,
/// and needs more endings from then on. Servers that end together, as those of one rack do, count
/// once: an ending counts only where the request was sent there after the one before. Three that
/// count block a request, for a time; then it is tried again, and one more blocks it for twice as
/// long.
class CrashLedger
{
public:
  /// Endings after which a request is blocked: the platform's bound.
  static constexpr int ENDINGS_TO_BLOCK = 3;
  /// A request that has run to a good end before must have had so many: it is sent often, and has
  /// been at many servers.
  static constexpr int ENDINGS_OF_SURVIVOR = 5;
  /// For so long after a good end no ending counts: of a request that begins to end servers, after
  /// a release, as many seconds pass.
  static constexpr Common::Milliseconds TRUSTED_FOR{15000};
  /// The first block; each later one is twice as long, up to the longest. A mended engine serves
  /// the request again after that time.
  static constexpr Common::Milliseconds FIRST_BLOCK{std::chrono::minutes(10)};
  static constexpr Common::Milliseconds LONGEST_BLOCK{std::chrono::hours(6)};
  /// So long after its last ending a request that is not blocked is forgotten.
  static constexpr Common::Milliseconds MEMORY{std::chrono::hours(1)};
  /// Cases that are kept; beyond, those with the fewest endings go first. Some 2 MB.
  static constexpr std::size_t MAX_CASES = 4096;

  explicit CrashLedger(int endings_to_block = ENDINGS_TO_BLOCK)
      : m_endings_to_block(endings_to_block)
  {
  }

  /// A server ended while it had the request. `survived_at`: when a server last ran the request to
  /// a good end, as far as this daemon knows.
  void NoteEnding(const Fingerprint& request, const ServerLife& server, const Common::VmId& seen_by,
                  Common::TimePoint sent_at, Common::TimePoint ended_at,
                  std::optional<Common::TimePoint> survived_at = std::nullopt);
  /// A server has run the request to a good end.
  void NoteSurvival(const Fingerprint& request, Common::TimePoint now);
  /// A server ran the request to a good end before it became known here.
  void NoteEarlierSurvival(const Fingerprint& request, Common::TimePoint survived_at,
                           Common::TimePoint now);
  /// What another daemon knows.
  void Merge(const CaseLine& line, Common::TimePoint now);
  /// Requests that have been blocked since the last call.
  std::vector<Fingerprint> TakeNewlyBlocked() { return std::exchange(m_newly_blocked, {}); }

  bool Empty() const { return m_cases.empty(); }
  /// False where no known request has this key: then its fingerprint need not be made.
  bool MayKnow(QuickKey key) const { return m_keys.contains(key); }
  Judgement Judge(const Fingerprint& request, Common::TimePoint now) const;

  /// Changes whenever a case does.
  std::uint64_t Revision() const { return m_revision; }
  /// Changes whenever what this daemon itself saw does.
  std::uint64_t OwnRevision() const { return m_own_revision; }
  /// Cases in which this daemon itself saw something, oldest change first, up to `max_bytes`.
  CaseNews SeenHereSince(std::uint64_t revision, std::size_t max_bytes,
                         Common::TimePoint now) const;
  /// Cases that concern all daemons, oldest change first, up to `max_bytes`.
  CaseNews NewsSince(std::uint64_t revision, std::size_t max_bytes, Common::TimePoint now) const;
  /// Cases with so many endings, blocked ones first.
  std::vector<CaseLine> Worst(std::size_t least_endings, Common::TimePoint now) const;
  std::size_t Cases() const { return m_cases.size(); }
  std::size_t Blocked(Common::TimePoint now) const;
  std::optional<CaseLine> Find(const Fingerprint& request, Common::TimePoint now) const;

private:
  struct Ending
  {
    Common::TimePoint at;
    Common::TimePoint sent_at; ///< Of the first sending that was there.
    std::set<Common::VmId> seen_by;
  };
  struct Case
  {
    std::map<ServerLife, Ending> endings;
    std::optional<Common::TimePoint> survived_at;
    Common::TimePoint blocked_at;
    Common::TimePoint blocked_until; ///< Long past where it never was blocked.
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
  /// Blocks the request where its endings suffice.
  void BlockIfDue(const Fingerprint& request, Common::TimePoint now);
  void Forget(const Fingerprint& request);
  void Prune(Common::TimePoint now);
  static CaseLine LineOf(const Fingerprint& request, const Case& entry, Common::TimePoint now);
  static bool ConcernsAll(const Case& entry);
  /// Lines of `changed`, in the order of their revisions, up to `max_bytes`.
  using ByRevision = std::map<std::uint64_t, std::pair<const Fingerprint*, const Case*>>;
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
