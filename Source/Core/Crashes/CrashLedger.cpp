// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace Crashes
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;

/// Maximum VMs recorded as observers of one crash.
constexpr std::size_t MAX_SEEN_BY = 4;
/// Maximum crashes recorded per request. Three block it, and a few more may follow before all
/// daemons apply the block.
constexpr std::size_t MAX_CRASHES = 16;
/// Servers that fail together, such as those of a rack, do so within this time. Servers that crash
/// on the same part of prompts do not.
constexpr Milliseconds MIN_CRASH_DISTANCE{30};
/// Time until all daemons know of a block.
constexpr Milliseconds BLOCK_SPREAD{500};
/// Time without a crash after which those that followed each other have ended.
constexpr Milliseconds CALM_AFTER{1500};
/// Number of doublings after which the longest block is reached.
constexpr int MAX_DOUBLINGS = 6;
/// Interval at which old cases are removed.
constexpr Milliseconds PRUNE_INTERVAL{60000};
/// Upper bounds for the encoded size of a case without its crashes, and of one crash without its
/// names.
constexpr std::size_t CASE_BYTES = 64;
constexpr std::size_t SERVER_CRASH_BYTES = 32;

std::int64_t AgeOf(TimePoint moment, TimePoint now)
{
  return std::max<std::int64_t>(std::chrono::floor<Milliseconds>(now - moment).count(), 0);
}

std::size_t EncodedSizeBound(const CaseLine& line)
{
  std::size_t bytes = CASE_BYTES;
  for (const CrashLine& crash : line.server_crashes)
  {
    bytes += SERVER_CRASH_BYTES + crash.server.Get().size();
    for (const Common::VmId& vm : crash.seen_by)
      bytes += vm.Get().size() + 2;
  }
  return bytes;
}
} // namespace

std::string Describe(const std::vector<CrashLine>& server_crashes)
{
  std::string text;
  for (const CrashLine& crash : server_crashes)
  {
    text += text.empty() ? "" : "; ";
    text += crash.server.Get() + " " + std::to_string(crash.age_ms) + " ms ago, seen by";
    for (const Common::VmId& vm : crash.seen_by)
      text += " " + vm.Get();
  }
  return text;
}

CrashLedger::Case& CrashLedger::FindOrCreate(const Fingerprint& request)
{
  const auto [found, is_new] = m_cases.try_emplace(request);
  if (is_new)
    m_keys.insert(request.quick);
  return found->second;
}

void CrashLedger::MarkChanged(Case& entry, TimePoint now)
{
  entry.changed_at = now;
  entry.revision = ++m_revision;
}

CrashPolicy CrashLedger::CrashPolicyOf(const Fingerprint& request) const
{
  if (request.GetAttribute() == Attribute::PromptPart)
    return {m_crashes_to_block, CRASHES_TO_BLOCK_AFTER_SUCCESS, PART_SUCCESS_GRACE, true};
  return {m_crashes_to_block, CRASHES_TO_BLOCK_AFTER_SUCCESS, SUCCESS_GRACE, false};
}

bool CrashLedger::AddCrash(Case& entry, const CrashPolicy& policy, const ServerInstance& server,
                           const CrashRecord& crash)
{
  if (entry.last_success && crash.at <= *entry.last_success + policy.success_grace)
    return false;
  if (entry.server_crashes.size() >= MAX_CRASHES && !entry.server_crashes.contains(server))
    return false;
  const auto [found, is_new] = entry.server_crashes.try_emplace(server, crash);
  found->second.at = std::min(found->second.at, crash.at);
  found->second.sent_at = std::min(found->second.sent_at, crash.sent_at);
  const bool newly_explained = !found->second.explained && crash.explained;
  found->second.explained = found->second.explained || crash.explained;
  const Progress least = std::min(found->second.progress, crash.progress);
  const bool had_come_less_far = std::exchange(found->second.progress, least) != least;
  return is_new || newly_explained || had_come_less_far;
}

void CrashLedger::RecordCrash(const Fingerprint& request, const ServerInstance& server,
                              const Common::VmId& seen_by, TimePoint sent_at, TimePoint ended_at,
                              std::optional<TimePoint> last_success, Progress progress)
{
  const CrashPolicy policy = CrashPolicyOf(request);
  if (last_success && ended_at - *last_success <= policy.success_grace)
    return;
  Prune(ended_at);
  Case& entry = FindOrCreate(request);
  if (last_success)
    entry.last_success = std::max(entry.last_success.value_or(*last_success), *last_success);
  m_last_crash_at = std::max(m_last_crash_at, ended_at);
  AddCrash(entry, policy, server, {ended_at, sent_at, {}, progress});
  const auto crash = entry.server_crashes.find(server);
  if (crash != entry.server_crashes.end() && crash->second.seen_by.size() < MAX_SEEN_BY)
    crash->second.seen_by.insert(seen_by);
  MarkChanged(entry, ended_at);
  entry.own_revision = entry.revision;
  m_own_revision = entry.revision;
  BlockIfDue(request, ended_at);
}

void CrashLedger::NoteRequestSuccess(const Fingerprint& request, TimePoint now)
{
  // Each recorded completion is sent to the other daemons; more frequent ones add no information.
  constexpr Milliseconds MIN_REPEAT_INTERVAL = CrashLedger::SUCCESS_GRACE / 3;
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return;
  const Case& known = found->second;
  if (known.server_crashes.empty() && known.last_success &&
      now - *known.last_success < MIN_REPEAT_INTERVAL)
    return;
  Clear(found->second, CrashPolicyOf(request), now);
  MarkChanged(found->second, now);
  found->second.own_revision = found->second.revision;
  m_own_revision = found->second.revision;
}

void CrashLedger::NoteEarlierSuccess(const Fingerprint& request, TimePoint last_success,
                                     TimePoint now)
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return;
  Case& entry = found->second;
  if (entry.last_success && last_success <= *entry.last_success + SUCCESS_GRACE / 3)
    return;
  Clear(entry, CrashPolicyOf(request), last_success);
  MarkChanged(entry, now);
  entry.own_revision = entry.revision;
  m_own_revision = entry.revision;
}

void CrashLedger::Clear(Case& entry, const CrashPolicy& policy, TimePoint last_success)
{
  entry.last_success = std::max(entry.last_success.value_or(last_success), last_success);
  const TimePoint cleared_until =
      *entry.last_success +
      (policy.success_outweighs_crashes ? policy.success_grace : Milliseconds(0));
  std::erase_if(entry.server_crashes, [&](const auto& crash) {
    return crash.second.at <= cleared_until;
  });
  if (entry.blocked_at <= cleared_until || IsBlockOverruled(policy, entry, entry.blocked_at))
    entry.blocked_until = {};
}

void CrashLedger::Merge(const CaseLine& line, TimePoint now)
{
  Prune(now);
  const CrashPolicy policy = CrashPolicyOf(line.request);
  Case& entry = FindOrCreate(line.request);
  bool changed = false;
  if (line.last_success_age_ms >= 0)
  {
    const TimePoint last_success = now - Milliseconds(line.last_success_age_ms);
    // A repeated message yields a slightly later time for the same completion.
    constexpr Milliseconds MAX_TIME_SHIFT{2000};
    if (!entry.last_success || last_success > *entry.last_success + MAX_TIME_SHIFT)
    {
      Clear(entry, policy, last_success);
      changed = true;
    }
  }
  for (const CrashLine& crash : line.server_crashes)
  {
    m_last_crash_at = std::max(m_last_crash_at, now - Milliseconds(crash.age_ms));
    changed |= AddCrash(entry, policy, crash.server,
                        {now - Milliseconds(crash.age_ms),
                         now - Milliseconds(crash.sent_age_ms),
                         {},
                         crash.responding ? Progress::Responding : Progress::NotBegun,
                         crash.explained});
    const auto known = entry.server_crashes.find(crash.server);
    for (const Common::VmId& vm : crash.seen_by)
      if (known != entry.server_crashes.end() && known->second.seen_by.size() < MAX_SEEN_BY)
        changed |= known->second.seen_by.insert(vm).second;
  }
  if (line.blocks > entry.blocks)
  {
    const bool was_blocked = entry.IsBlocked(now);
    entry.blocks = line.blocks;
    if (!IsBlockOverruled(policy, entry, now))
    {
      entry.blocked_at = now;
      entry.blocked_until = now + Milliseconds(line.blocked_for_ms);
    }
    if (!was_blocked && entry.IsBlocked(now))
      m_newly_blocked.push_back(line.request);
    changed = true;
  }
  if (IsBlockOverruled(policy, entry, entry.blocked_at))
    entry.blocked_until = {};
  if (changed)
    MarkChanged(entry, now);
  BlockIfDue(line.request, now);
}

int CrashLedger::CountIndependentCrashes(const Fingerprint& request, const Case& entry) const
{
  const CrashPolicy policy = CrashPolicyOf(request);
  std::vector<const CrashRecord*> server_crashes;
  server_crashes.reserve(entry.server_crashes.size());
  for (const auto& [server, crash] : entry.server_crashes)
    if (!crash.explained)
      server_crashes.push_back(&crash);
  std::ranges::sort(server_crashes, {}, [](const CrashRecord* crash) {
    return crash->at;
  });
  int before_last_block = 0;
  int since = 0;
  TimePoint last_counted = TimePoint::min();
  for (const CrashRecord* crash : server_crashes)
  {
    const bool is_dependent = request.GetAttribute() == Attribute::PromptPart
                                  ? crash->at < last_counted + MIN_CRASH_DISTANCE
                                  : crash->sent_at < last_counted;
    if (last_counted != TimePoint::min() && is_dependent)
      continue;
    last_counted = crash->at;
    const bool is_old = entry.blocks > 0 && crash->at <= entry.blocked_until;
    ++(is_old ? before_last_block : since);
  }
  // After a block, a single further crash triggers the next one.
  return std::min(before_last_block, CrashesToBlock(policy, entry) - 1) + since;
}

/// True if the request's successful completion invalidates its first block, which was set by a
/// daemon that was unaware of the completion, or if other requests caused all crashes.
bool CrashLedger::IsBlockOverruled(const CrashPolicy& policy, const Case& entry,
                                   TimePoint blocked_at)
{
  const auto is_explained = [](const auto& crash) {
    return crash.second.explained;
  };
  if (!entry.server_crashes.empty() && std::ranges::all_of(entry.server_crashes, is_explained))
    return true;
  if (policy.success_outweighs_crashes && entry.last_success &&
      blocked_at <= *entry.last_success + policy.success_grace)
    return true;
  return entry.last_success && entry.blocks <= 1 &&
         entry.server_crashes.size() < CRASHES_TO_BLOCK_AFTER_SUCCESS;
}

bool CrashLedger::HasOtherSuspects(const Fingerprint& request, const Case& entry) const
{
  return std::ranges::any_of(m_cases, [&](const auto& other) {
    return &other.second != &entry && other.first.GetAttribute() == request.GetAttribute() &&
           std::ranges::any_of(other.second.server_crashes, [&](const auto& crash) {
             return entry.server_crashes.contains(crash.first);
           });
  });
}

int CrashLedger::CrashesSinceBlock(const Fingerprint& request) const
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return 0;
  return static_cast<int>(
      std::ranges::count_if(found->second.server_crashes, [&](const auto& crash) {
        return crash.second.sent_at > found->second.blocked_at + BLOCK_SPREAD;
      }));
}

bool CrashLedger::IsCalm(const Fingerprint& request, TimePoint now) const
{
  const auto found = m_cases.find(request);
  return now - m_last_crash_at >= CALM_AFTER &&
         (found == m_cases.end() || now - found->second.blocked_at > BLOCK_SPREAD);
}

std::vector<Fingerprint> CrashLedger::LiftBlocksOfBystanders(TimePoint now)
{
  CrashesByRequest blocked;
  for (const auto& [request, entry] : m_cases)
    if (entry.IsBlocked(now) && request.GetAttribute() == Attribute::WholeRequest)
      for (const auto& [server, crash] : entry.server_crashes)
        blocked[request].emplace(server, crash.progress);
  std::vector<Fingerprint> lifted;
  for (const Fingerprint& request : FindBystanders(blocked))
  {
    Case& entry = m_cases.at(request);
    if (now - entry.blocked_at < COMPARISON_DELAY)
      continue;
    for (auto& [server, crash] : entry.server_crashes)
      crash.explained = true;
    entry.blocked_until = {};
    MarkChanged(entry, now);
    lifted.push_back(request);
  }
  return lifted;
}

void CrashLedger::BlockIfDue(const Fingerprint& request, TimePoint now)
{
  Case& entry = m_cases.at(request);
  if (entry.IsBlocked(now) ||
      CountIndependentCrashes(request, entry) < CrashesToBlock(CrashPolicyOf(request), entry))
    return;
  const auto span = std::min(FIRST_BLOCK * (1 << std::min(entry.blocks, MAX_DOUBLINGS)), MAX_BLOCK);
  ++entry.blocks;
  entry.blocked_at = now;
  entry.blocked_until = now + span;
  MarkChanged(entry, now);
  m_newly_blocked.push_back(request);
}

BlockStatus CrashLedger::BlockStatusOf(const Fingerprint& request, TimePoint now) const
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return {};
  BlockStatus status;
  status.blocked = found->second.IsBlocked(now);
  if (status.blocked)
  {
    status.blocked_for = std::chrono::ceil<Milliseconds>(found->second.blocked_until - now);
    const bool may_be_lifted =
        now - found->second.blocked_at < UNCERTAIN_SPAN && HasOtherSuspects(request, found->second);
    status.retry_after =
        may_be_lifted ? std::min(status.blocked_for, UNCERTAIN_RETRY_AFTER) : status.blocked_for;
  }
  status.server_crashes = CountIndependentCrashes(request, found->second);
  return status;
}

CaseLine CrashLedger::ToCaseLine(const Fingerprint& request, const Case& entry, TimePoint now)
{
  CaseLine line;
  line.request = request;
  line.server_crashes.reserve(entry.server_crashes.size());
  for (const auto& [server, crash] : entry.server_crashes)
    line.server_crashes.push_back({server,
                                   AgeOf(crash.at, now),
                                   AgeOf(crash.sent_at, now),
                                   {crash.seen_by.begin(), crash.seen_by.end()},
                                   crash.progress == Progress::Responding,
                                   crash.explained});
  if (entry.last_success)
    line.last_success_age_ms = AgeOf(*entry.last_success, now);
  if (entry.IsBlocked(now))
    line.blocked_for_ms = std::chrono::ceil<Milliseconds>(entry.blocked_until - now).count();
  line.blocks = entry.blocks;
  return line;
}

std::optional<CaseLine> CrashLedger::Find(const Fingerprint& request, TimePoint now) const
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return std::nullopt;
  return ToCaseLine(request, found->second, now);
}

void CrashLedger::FillUpdate(CaseUpdate& update, const ByRevision& changed, std::size_t max_bytes,
                             TimePoint now)
{
  std::size_t bytes = 0;
  for (const auto& [revision, found] : changed)
  {
    CaseLine line = ToCaseLine(*found.first, *found.second, now);
    bytes += EncodedSizeBound(line);
    if (bytes > max_bytes)
    {
      update.to = revision - 1;
      return;
    }
    update.lines.push_back(std::move(line));
  }
}

CaseUpdate CrashLedger::OwnChangesSince(std::uint64_t revision, std::size_t max_bytes,
                                        TimePoint now) const
{
  CaseUpdate update{revision, std::max(revision, m_own_revision), {}};
  if (update.to == revision)
    return update;
  ByRevision changed;
  for (const auto& [request, entry] : m_cases)
    if (entry.own_revision > revision)
      changed.emplace(entry.own_revision, std::pair(&request, &entry));
  FillUpdate(update, changed, max_bytes, now);
  return update;
}

/// A case with a single crash stays at the lease holder, since most such requests never recur.
bool CrashLedger::IsSharedWithAll(const Case& entry)
{
  return entry.server_crashes.size() > 1 || entry.blocks > 0 || entry.last_success;
}

CaseUpdate CrashLedger::SharedChangesSince(std::uint64_t revision, std::size_t max_bytes,
                                           TimePoint now) const
{
  CaseUpdate update{revision, std::max(revision, m_revision), {}};
  if (update.to == revision)
    return update;
  ByRevision changed;
  for (const auto& [request, entry] : m_cases)
    if (entry.revision > revision && IsSharedWithAll(entry))
      changed.emplace(entry.revision, std::pair(&request, &entry));
  FillUpdate(update, changed, max_bytes, now);
  return update;
}

std::vector<CaseLine> CrashLedger::MostSevere(std::size_t min_crashes, TimePoint now) const
{
  std::vector<CaseLine> lines;
  for (const auto& [request, entry] : m_cases)
    if (entry.server_crashes.size() >= min_crashes || entry.blocks > 0)
      lines.push_back(ToCaseLine(request, entry, now));
  std::ranges::stable_sort(lines, std::ranges::greater(), [](const CaseLine& line) {
    return std::pair(line.blocked_for_ms, line.server_crashes.size());
  });
  return lines;
}

std::size_t CrashLedger::Blocked(TimePoint now) const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_cases, [&](const auto& entry) {
    return entry.second.IsBlocked(now);
  }));
}

void CrashLedger::Remove(const Fingerprint& request)
{
  m_keys.erase(m_keys.find(request.quick));
  m_cases.erase(request);
}

void CrashLedger::Prune(TimePoint now)
{
  if (m_cases.size() < MAX_CASES && now - m_pruned_at < PRUNE_INTERVAL)
    return;
  m_pruned_at = now;
  using Rank = std::tuple<bool, std::size_t, TimePoint>;
  std::vector<std::pair<Rank, Fingerprint>> kept;
  std::vector<Fingerprint> old;
  for (const auto& [request, entry] : m_cases)
    if (!entry.IsBlocked(now) && now - std::max(entry.changed_at, entry.blocked_until) > RETENTION)
      old.push_back(request);
    else
      kept.push_back(
          {{entry.IsBlocked(now), entry.server_crashes.size(), entry.changed_at}, request});
  std::ranges::for_each(old, [this](const Fingerprint& request) {
    Remove(request);
  });
  if (kept.size() < MAX_CASES)
    return;
  // Evicts a quarter of the cases at once, so that this happens rarely.
  const auto end = kept.begin() + static_cast<std::ptrdiff_t>(MAX_CASES / 4);
  std::ranges::nth_element(kept, end);
  std::for_each(kept.begin(), end, [this](const auto& entry) {
    Remove(entry.second);
  });
}
} // namespace Crashes
