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

#include "Crashes/CrashAttribution.h"
#include "Crashes/CrashCase.h"

namespace Crashes
{
/// Cases that changed within a range of a ledger's revisions.
struct CaseUpdate
{
  std::uint64_t from = 0; ///< Last revision before the range.
  std::uint64_t to = 0;   ///< Last revision of the range.
  std::vector<CaseLine> lines;
};

/// Whether a request is blocked, and the evidence against it.
struct BlockStatus
{
  bool blocked = false;
  Common::Milliseconds blocked_for{0};
  /// When the caller should retry: the end of the block, or earlier if the block may be lifted.
  Common::Milliseconds retry_after{0};
  int server_crashes = 0; ///< Server crashes that count against the request.
};

/// How crashes count against a whole request or a part of a prompt.
struct CrashPolicy
{
  int crashes_to_block = 0;
  /// The same after a success.
  int crashes_to_block_after_success = 0;
  /// Crashes within this time after a success do not count.
  Common::Milliseconds success_grace{0};
  /// True if a success also clears the crashes and the block of this time before it was known.
  bool success_outweighs_crashes = false;
};

/// Tracks which requests were in progress on servers that crashed, and blocks those that repeatedly
/// crash servers. It has no clock or I/O of its own; times are passed in. Merging what other
/// daemons observed is commutative and idempotent.
///
/// All requests in progress on a server when it crashes are suspects; the crashes of several
/// servers separate the cause from the bystanders. A successful completion on any server clears a
/// request, also for crashes in the next seconds, and raises the number of crashes needed to block
/// it. Servers that crash together, such as those of one rack, count once: a crash counts only if
/// the request was sent to the server after the previous counted crash. Three counted crashes block
/// a request for a time. After that it is tried again, and one more crash blocks it for twice as
/// long.
///
/// A part of a prompt is tracked in the same way, with another rule (`CrashPolicyOf`): a server
/// that begins to write on it shows that it is not the cause, which outweighs all crashes, and
/// crashes need not follow each other, because each comes from another request.
///
/// Identical requests of many callers may be in progress on three crashed servers before one of
/// them has completed, and are blocked like the request that caused the crashes. Once that one is
/// blocked too, a comparison of their crashes tells them apart, and the bystander's block is
/// lifted.
class CrashLedger
{
public:
  /// Crashes after which a request is blocked. The platform requires this number.
  static constexpr int CRASHES_TO_BLOCK = 3;
  /// The same for a request that has completed successfully before. Such a request is sent often
  /// and runs on many servers, so it is more often a bystander.
  static constexpr int CRASHES_TO_BLOCK_AFTER_SUCCESS = 5;
  /// Crashes within this time after a successful completion do not count. This also delays the
  /// detection of a request that starts to crash servers after a release by as many seconds.
  static constexpr Common::Milliseconds SUCCESS_GRACE{15000};
  /// The same for a part of a prompt: servers with the same software crash on it always or never.
  static constexpr Common::Milliseconds PART_SUCCESS_GRACE{std::chrono::minutes(10)};
  /// Duration of the first block. Each later one is twice as long, up to the longest. Blocks
  /// expire because a server whose fault has been fixed can serve the request again.
  static constexpr Common::Milliseconds FIRST_BLOCK{std::chrono::minutes(10)};
  static constexpr Common::Milliseconds MAX_BLOCK{std::chrono::hours(6)};
  /// A case is removed this long after its last change or the end of its block.
  static constexpr Common::Milliseconds RETENTION{std::chrono::hours(1)};
  /// Time from a block until its crashes are compared with those of other blocked requests. Within
  /// it, the reports of all daemons arrive, and the requests that caused the crashes are usually
  /// blocked as well.
  static constexpr Common::Milliseconds COMPARISON_DELAY{3000};
  /// A block that may still be lifted is announced to callers for this long at most, and is no
  /// longer expected to be lifted after the second span.
  static constexpr Common::Milliseconds UNCERTAIN_RETRY_AFTER{4000};
  static constexpr Common::Milliseconds UNCERTAIN_SPAN{20000};
  /// Maximum number of cases, about 2 MB. Beyond it, those with the fewest crashes are evicted
  /// first.
  static constexpr std::size_t MAX_CASES = 4096;

  explicit CrashLedger(int crashes_to_block = CRASHES_TO_BLOCK)
      : m_crashes_to_block(crashes_to_block)
  {
  }

  /// Records that a server crashed while it processed the request. `last_success` is the last
  /// successful completion of the request known to this daemon; `progress` is how far it had come.
  void RecordCrash(const Fingerprint& request, const ServerInstance& server,
                   const Common::VmId& seen_by, Common::TimePoint sent_at,
                   Common::TimePoint ended_at,
                   std::optional<Common::TimePoint> last_success = std::nullopt,
                   Progress progress = Progress::NotBegun);
  /// Records a successful completion of the request.
  void NoteRequestSuccess(const Fingerprint& request, Common::TimePoint now);
  /// Records a successful completion from before the case was known to this daemon.
  void NoteEarlierSuccess(const Fingerprint& request, Common::TimePoint last_success,
                          Common::TimePoint now);
  /// Merges the state of a case received from another daemon.
  void Merge(const CaseLine& line, Common::TimePoint now);
  /// At the lease holder, which knows the observations of all daemons: lifts the blocks of requests
  /// whose crashes other blocked requests caused. Returns these requests.
  std::vector<Fingerprint> LiftBlocksOfBystanders(Common::TimePoint now);
  /// Servers that crashed under requests that were sent although all daemons knew of the block.
  int CrashesSinceBlock(const Fingerprint& request) const;
  /// True if no server is known to have crashed, and this has not been blocked, for some time: what
  /// crashes now under a request with it is its own doing.
  bool IsCalm(const Fingerprint& request, Common::TimePoint now) const;
  /// Returns the requests that have been blocked since the last call.
  std::vector<Fingerprint> TakeNewlyBlocked() { return std::exchange(m_newly_blocked, {}); }

  bool Empty() const { return m_cases.empty(); }
  /// How crashes count against what the fingerprint identifies.
  CrashPolicy CrashPolicyOf(const Fingerprint& request) const;
  /// False if no known request has this key, so that the fingerprint need not be computed.
  bool MayContain(QuickKey key) const { return m_keys.contains(key); }
  BlockStatus BlockStatusOf(const Fingerprint& request, Common::TimePoint now) const;

  /// Increases whenever a case changes.
  std::uint64_t Revision() const { return m_revision; }
  /// Increases whenever this daemon itself records an observation.
  std::uint64_t OwnRevision() const { return m_own_revision; }
  /// Cases with observations of this daemon itself, oldest change first, up to `max_bytes`.
  CaseUpdate OwnChangesSince(std::uint64_t revision, std::size_t max_bytes,
                             Common::TimePoint now) const;
  /// Cases that are shared with all daemons, oldest change first, up to `max_bytes`.
  CaseUpdate SharedChangesSince(std::uint64_t revision, std::size_t max_bytes,
                                Common::TimePoint now) const;
  /// Cases that have at least `min_crashes` crashes or were ever blocked; blocked ones first.
  std::vector<CaseLine> MostSevere(std::size_t min_crashes, Common::TimePoint now) const;
  std::size_t Cases() const { return m_cases.size(); }
  std::size_t Blocked(Common::TimePoint now) const;
  std::optional<CaseLine> Find(const Fingerprint& request, Common::TimePoint now) const;

private:
  struct CrashRecord
  {
    Common::TimePoint at;
    Common::TimePoint sent_at; ///< When the request was first sent to the server.
    std::set<Common::VmId> seen_by;
    Progress progress = Progress::NotBegun;
    bool explained = false;
  };
  struct Case
  {
    std::map<ServerInstance, CrashRecord> server_crashes;
    std::optional<Common::TimePoint> last_success;
    Common::TimePoint blocked_at;
    Common::TimePoint blocked_until; ///< In the past if it was never blocked.
    int blocks = 0;
    Common::TimePoint changed_at;
    std::uint64_t revision = 0;
    std::uint64_t own_revision = 0;

    bool IsBlocked(Common::TimePoint now) const { return now < blocked_until; }
  };

  Case& FindOrCreate(const Fingerprint& request);
  void MarkChanged(Case& entry, Common::TimePoint now);
  static bool AddCrash(Case& entry, const CrashPolicy& policy, const ServerInstance& server,
                       const CrashRecord& crash);
  static void Clear(Case& entry, const CrashPolicy& policy, Common::TimePoint last_success);
  int CountIndependentCrashes(const Fingerprint& request, const Case& entry) const;
  /// Whether other requests were in progress on the crashed servers as well.
  bool HasOtherSuspects(const Fingerprint& request, const Case& entry) const;
  static int CrashesToBlock(const CrashPolicy& policy, const Case& entry)
  {
    return entry.last_success ? policy.crashes_to_block_after_success : policy.crashes_to_block;
  }
  static bool IsBlockOverruled(const CrashPolicy& policy, const Case& entry,
                               Common::TimePoint blocked_at);
  /// Blocks the request if enough crashes count against it.
  void BlockIfDue(const Fingerprint& request, Common::TimePoint now);
  void Remove(const Fingerprint& request);
  void Prune(Common::TimePoint now);
  static CaseLine ToCaseLine(const Fingerprint& request, const Case& entry, Common::TimePoint now);
  static bool IsSharedWithAll(const Case& entry);
  using ByRevision = std::map<std::uint64_t, std::pair<const Fingerprint*, const Case*>>;
  /// Adds the cases in `changed` to `update` in the order of their revisions, up to `max_bytes`.
  static void FillUpdate(CaseUpdate& update, const ByRevision& changed, std::size_t max_bytes,
                         Common::TimePoint now);

  int m_crashes_to_block;
  std::map<Fingerprint, Case> m_cases;
  std::multiset<QuickKey> m_keys;
  std::vector<Fingerprint> m_newly_blocked;
  std::uint64_t m_revision = 0;
  std::uint64_t m_own_revision = 0;
  Common::TimePoint m_last_crash_at;
  Common::TimePoint m_pruned_at;
};
} // namespace Crashes
