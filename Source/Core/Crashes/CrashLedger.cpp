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

/// Maximum VMs recorded as observers of one exit.
constexpr std::size_t MAX_WITNESSES = 4;
/// Maximum exits recorded per request. Three block it, and a few more may follow before all daemons
/// apply the block.
constexpr std::size_t MAX_ENDINGS = 16;
/// Number of doublings after which the longest block is reached.
constexpr int MAX_DOUBLINGS = 6;
/// Interval at which old cases are removed.
constexpr Milliseconds PRUNE_INTERVAL{60000};
/// Upper bounds for the encoded size of a case without its exits, and of one exit without its
/// names.
constexpr std::size_t CASE_BYTES = 64;
constexpr std::size_t ENDING_BYTES = 30;

std::int64_t AgeOf(TimePoint moment, TimePoint now)
{
  return std::max<std::int64_t>(std::chrono::floor<Milliseconds>(now - moment).count(), 0);
}

std::size_t EncodedSizeBound(const CaseLine& line)
{
  std::size_t bytes = CASE_BYTES;
  for (const EndingLine& ending : line.endings)
  {
    bytes += ENDING_BYTES + ending.server.Get().size();
    for (const Common::VmId& vm : ending.seen_by)
      bytes += vm.Get().size() + 2;
  }
  return bytes;
}
} // namespace

std::string Describe(const std::vector<EndingLine>& endings)
{
  std::string text;
  for (const EndingLine& ending : endings)
  {
    text += text.empty() ? "" : "; ";
    text += ending.server.Get() + " " + std::to_string(ending.age_ms) + " ms ago, seen by";
    for (const Common::VmId& vm : ending.seen_by)
      text += " " + vm.Get();
  }
  return text;
}

CrashLedger::Case& CrashLedger::Open(const Fingerprint& request)
{
  const auto [found, is_new] = m_cases.try_emplace(request);
  if (is_new)
    m_keys.insert(request.quick);
  return found->second;
}

void CrashLedger::Touch(Case& entry, TimePoint now)
{
  entry.changed_at = now;
  entry.revision = ++m_revision;
}

bool CrashLedger::AddEnding(Case& entry, const ServerLife& server, const Ending& ending)
{
  if (entry.survived_at && ending.at <= *entry.survived_at + TRUSTED_FOR)
    return false;
  if (entry.endings.size() >= MAX_ENDINGS && !entry.endings.contains(server))
    return false;
  const auto [found, is_new] = entry.endings.try_emplace(server, ending);
  found->second.at = std::min(found->second.at, ending.at);
  found->second.sent_at = std::min(found->second.sent_at, ending.sent_at);
  return is_new;
}

void CrashLedger::NoteEnding(const Fingerprint& request, const ServerLife& server,
                             const Common::VmId& seen_by, TimePoint sent_at, TimePoint ended_at,
                             std::optional<TimePoint> survived_at)
{
  if (survived_at && ended_at - *survived_at <= TRUSTED_FOR)
    return;
  Prune(ended_at);
  Case& entry = Open(request);
  if (survived_at)
    entry.survived_at = std::max(entry.survived_at.value_or(*survived_at), *survived_at);
  AddEnding(entry, server, {ended_at, sent_at, {}});
  const auto ending = entry.endings.find(server);
  if (ending != entry.endings.end() && ending->second.seen_by.size() < MAX_WITNESSES)
    ending->second.seen_by.insert(seen_by);
  Touch(entry, ended_at);
  entry.own_revision = entry.revision;
  m_own_revision = entry.revision;
  BlockIfDue(request, ended_at);
}

void CrashLedger::NoteSurvival(const Fingerprint& request, TimePoint now)
{
  // Each recorded completion is sent to the other daemons; more frequent ones add no information.
  constexpr Milliseconds REPEAT_AFTER = CrashLedger::TRUSTED_FOR / 3;
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return;
  const Case& known = found->second;
  if (known.endings.empty() && known.survived_at && now - *known.survived_at < REPEAT_AFTER)
    return;
  Clear(found->second, now);
  Touch(found->second, now);
  found->second.own_revision = found->second.revision;
  m_own_revision = found->second.revision;
}

void CrashLedger::NoteEarlierSurvival(const Fingerprint& request, TimePoint survived_at,
                                      TimePoint now)
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return;
  Case& entry = found->second;
  if (entry.survived_at && survived_at <= *entry.survived_at + TRUSTED_FOR / 3)
    return;
  Clear(entry, survived_at);
  Touch(entry, now);
  entry.own_revision = entry.revision;
  m_own_revision = entry.revision;
}

void CrashLedger::Clear(Case& entry, TimePoint survived_at)
{
  entry.survived_at = std::max(entry.survived_at.value_or(survived_at), survived_at);
  std::erase_if(entry.endings, [&](const auto& ending) {
    return ending.second.at <= *entry.survived_at;
  });
  if (entry.blocked_at <= *entry.survived_at || IsBlockedTooEarly(entry))
    entry.blocked_until = {};
}

void CrashLedger::Merge(const CaseLine& line, TimePoint now)
{
  Prune(now);
  Case& entry = Open(line.request);
  bool changed = false;
  if (line.survived_age_ms >= 0)
  {
    const TimePoint survived_at = now - Milliseconds(line.survived_age_ms);
    // A repeated message yields a slightly later time for the same completion.
    constexpr Milliseconds SAME{2000};
    if (!entry.survived_at || survived_at > *entry.survived_at + SAME)
    {
      Clear(entry, survived_at);
      changed = true;
    }
  }
  for (const EndingLine& ending : line.endings)
  {
    changed |=
        AddEnding(entry, ending.server,
                  {now - Milliseconds(ending.age_ms), now - Milliseconds(ending.sent_age_ms), {}});
    const auto known = entry.endings.find(ending.server);
    for (const Common::VmId& vm : ending.seen_by)
      if (known != entry.endings.end() && known->second.seen_by.size() < MAX_WITNESSES)
        changed |= known->second.seen_by.insert(vm).second;
  }
  if (line.blocks > entry.blocks)
  {
    const bool was_blocked = entry.IsBlocked(now);
    entry.blocks = line.blocks;
    if (!IsBlockedTooEarly(entry))
    {
      entry.blocked_at = now;
      entry.blocked_until = now + Milliseconds(line.blocked_for_ms);
    }
    if (!was_blocked && entry.IsBlocked(now))
      m_newly_blocked.push_back(line.request);
    changed = true;
  }
  if (changed)
    Touch(entry, now);
  BlockIfDue(line.request, now);
}

int CrashLedger::EndingsThatCount(const Case& entry) const
{
  std::vector<const Ending*> endings;
  endings.reserve(entry.endings.size());
  for (const auto& [server, ending] : entry.endings)
    endings.push_back(&ending);
  std::ranges::sort(endings, {}, [](const Ending* ending) {
    return ending->at;
  });
  int before_last_block = 0;
  int since = 0;
  TimePoint last_counted = TimePoint::min();
  for (const Ending* ending : endings)
  {
    if (ending->sent_at < last_counted)
      continue;
    last_counted = ending->at;
    const bool is_old = entry.blocks > 0 && ending->at <= entry.blocked_until;
    ++(is_old ? before_last_block : since);
  }
  // After a block, a single further exit triggers the next one.
  return std::min(before_last_block, EndingsToBlock(entry) - 1) + since;
}

/// True if the block came from a daemon that did not know of the request's successful completion.
bool CrashLedger::IsBlockedTooEarly(const Case& entry)
{
  return entry.survived_at && entry.blocks <= 1 && entry.endings.size() < ENDINGS_OF_SURVIVOR;
}

void CrashLedger::BlockIfDue(const Fingerprint& request, TimePoint now)
{
  Case& entry = m_cases.at(request);
  if (entry.IsBlocked(now) || EndingsThatCount(entry) < EndingsToBlock(entry))
    return;
  const auto span =
      std::min(FIRST_BLOCK * (1 << std::min(entry.blocks, MAX_DOUBLINGS)), LONGEST_BLOCK);
  ++entry.blocks;
  entry.blocked_at = now;
  entry.blocked_until = now + span;
  Touch(entry, now);
  m_newly_blocked.push_back(request);
}

Judgement CrashLedger::Judge(const Fingerprint& request, TimePoint now) const
{
  const auto found = m_cases.find(request);
  if (found == m_cases.end())
    return {};
  Judgement judgement;
  judgement.blocked = found->second.IsBlocked(now);
  if (judgement.blocked)
    judgement.blocked_for = std::chrono::ceil<Milliseconds>(found->second.blocked_until - now);
  judgement.endings = EndingsThatCount(found->second);
  return judgement;
}

CaseLine CrashLedger::LineOf(const Fingerprint& request, const Case& entry, TimePoint now)
{
  CaseLine line;
  line.request = request;
  line.endings.reserve(entry.endings.size());
  for (const auto& [server, ending] : entry.endings)
    line.endings.push_back({server,
                            AgeOf(ending.at, now),
                            AgeOf(ending.sent_at, now),
                            {ending.seen_by.begin(), ending.seen_by.end()}});
  if (entry.survived_at)
    line.survived_age_ms = AgeOf(*entry.survived_at, now);
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
  return LineOf(request, found->second, now);
}

void CrashLedger::Fill(CaseNews& news, const ByRevision& changed, std::size_t max_bytes,
                       TimePoint now)
{
  std::size_t bytes = 0;
  for (const auto& [revision, found] : changed)
  {
    CaseLine line = LineOf(*found.first, *found.second, now);
    bytes += EncodedSizeBound(line);
    if (bytes > max_bytes)
    {
      news.to = revision - 1;
      return;
    }
    news.lines.push_back(std::move(line));
  }
}

CaseNews CrashLedger::SeenHereSince(std::uint64_t revision, std::size_t max_bytes,
                                    TimePoint now) const
{
  CaseNews news{revision, std::max(revision, m_own_revision), {}};
  if (news.to == revision)
    return news;
  ByRevision changed;
  for (const auto& [request, entry] : m_cases)
    if (entry.own_revision > revision)
      changed.emplace(entry.own_revision, std::pair(&request, &entry));
  Fill(news, changed, max_bytes, now);
  return news;
}

/// A case with a single exit stays at the lease holder, since most such requests never recur.
bool CrashLedger::ConcernsAll(const Case& entry)
{
  return entry.endings.size() > 1 || entry.blocks > 0 || entry.survived_at;
}

CaseNews CrashLedger::NewsSince(std::uint64_t revision, std::size_t max_bytes, TimePoint now) const
{
  CaseNews news{revision, std::max(revision, m_revision), {}};
  if (news.to == revision)
    return news;
  ByRevision changed;
  for (const auto& [request, entry] : m_cases)
    if (entry.revision > revision && ConcernsAll(entry))
      changed.emplace(entry.revision, std::pair(&request, &entry));
  Fill(news, changed, max_bytes, now);
  return news;
}

std::vector<CaseLine> CrashLedger::Worst(std::size_t least_endings, TimePoint now) const
{
  std::vector<CaseLine> lines;
  for (const auto& [request, entry] : m_cases)
    if (entry.endings.size() >= least_endings || entry.blocks > 0)
      lines.push_back(LineOf(request, entry, now));
  std::ranges::stable_sort(lines, std::ranges::greater(), [](const CaseLine& line) {
    return std::pair(line.blocked_for_ms, line.endings.size());
  });
  return lines;
}

std::size_t CrashLedger::Blocked(TimePoint now) const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_cases, [&](const auto& entry) {
    return entry.second.IsBlocked(now);
  }));
}

void CrashLedger::Forget(const Fingerprint& request)
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
    if (!entry.IsBlocked(now) && now - std::max(entry.changed_at, entry.blocked_until) > MEMORY)
      old.push_back(request);
    else
      kept.push_back({{entry.IsBlocked(now), entry.endings.size(), entry.changed_at}, request});
  std::ranges::for_each(old, [this](const Fingerprint& request) {
    Forget(request);
  });
  if (kept.size() < MAX_CASES)
    return;
  // Evicts a quarter of the cases at once, so that this happens rarely.
  const auto end = kept.begin() + static_cast<std::ptrdiff_t>(MAX_CASES / 4);
  std::ranges::nth_element(kept, end);
  std::for_each(kept.begin(), end, [this](const auto& entry) {
    Forget(entry.second);
  });
}
} // namespace Crashes
