// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/PartEvidence.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <ranges>

namespace Crashes
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;

/// Parts of one prompt that are considered.
constexpr std::size_t MAX_PARTS = 16;
/// A part on which servers write all the time is recorded this often.
constexpr Milliseconds RECORD_INTERVAL{10000};
/// Time from one request with a blocked part to the next: a crash is known by then.
constexpr Milliseconds PROBE_INTERVAL{2000};
/// Servers that may crash under requests with a blocked part. The platform allows three sends after
/// a part is known to crash servers; the last one is left for a change of the lease holder.
constexpr int MAX_CRASHES_SINCE_BLOCK = 2;

/// Ids are hexadecimal numbers.
std::string Normalized(std::string_view id)
{
  std::string result(id);
  std::ranges::transform(result, result.begin(), [](unsigned char sign) {
    return static_cast<char>(std::tolower(sign));
  });
  return result;
}
} // namespace

SharedParts ReadSharedParts(std::string_view list, std::string_view account)
{
  SharedParts parts;
  parts.account = account;
  for (auto comma = list.find(','); comma != std::string_view::npos && parts.ids.size() < MAX_PARTS;
       comma = list.find(','))
  {
    const std::string_view part = list.substr(0, comma);
    parts.ids.push_back(Normalized(part.substr(0, part.find(':'))));
    list.remove_prefix(comma + 1);
  }
  return parts;
}

std::vector<Fingerprint> PartEvidence::Suspects(const SharedParts& parts, std::string_view software,
                                                TimePoint now) const
{
  std::vector<Fingerprint> suspects;
  for (const std::string& id : parts.ids)
  {
    const PromptPartIdentity identity{parts.account, id, software};
    if (!m_written.LastOf(QuickKeyOf(identity), now))
      suspects.push_back(FingerprintOf(identity));
  }
  return suspects;
}

std::vector<Fingerprint> PartEvidence::Suspected(const SharedParts& parts,
                                                 std::string_view software, TimePoint now) const
{
  std::vector<Fingerprint> suspected;
  for (const std::string& id : parts.ids)
    if (const auto part = FindCase(parts, id, software);
        part && m_ledger.BlockStatusOf(*part, now).server_crashes > 0)
      suspected.push_back(*part);
  return suspected;
}

void PartEvidence::NoteWritten(const SharedParts& parts, std::string_view software, TimePoint now)
{
  for (const std::string& id : parts.ids)
  {
    const PromptPartIdentity identity{parts.account, id, software};
    const QuickKey key = QuickKeyOf(identity);
    const auto last = m_written.LastOf(key, now);
    if (!last || now - *last >= RECORD_INTERVAL)
      m_written.Note(key, now);
    if (m_ledger.MayContain(key))
      m_ledger.NoteRequestSuccess(FingerprintOf(identity), now);
  }
}

std::optional<Fingerprint> PartEvidence::FindCase(const SharedParts& parts, const std::string& id,
                                                  std::string_view software) const
{
  const PromptPartIdentity identity{parts.account, id, software};
  if (!m_ledger.MayContain(QuickKeyOf(identity)))
    return std::nullopt;
  return FingerprintOf(identity);
}

std::vector<Fingerprint> PartEvidence::BlockedParts(const SharedParts& parts,
                                                    std::string_view software, TimePoint now) const
{
  std::vector<Fingerprint> blocked;
  for (const std::string& id : parts.ids)
    if (const auto part = FindCase(parts, id, software);
        part && m_ledger.BlockStatusOf(*part, now).blocked)
      blocked.push_back(*part);
  return blocked;
}

bool PartEvidence::IsUnproven(const Fingerprint& part) const
{
  return m_ledger.CrashesSinceBlock(part) < MAX_CRASHES_SINCE_BLOCK;
}

bool PartEvidence::MayProbe(const std::vector<Fingerprint>& blocked, TimePoint now) const
{
  if (!m_may_probe || blocked.size() != 1 || !IsUnproven(blocked.front()) ||
      !m_ledger.IsCalm(blocked.front(), now))
    return false;
  const auto probed_at = m_probed_at.find(blocked.front());
  return probed_at == m_probed_at.end() || now - probed_at->second > PROBE_INTERVAL;
}

BlockStatus PartEvidence::StatusOf(const SharedParts& parts, std::string_view software,
                                   TimePoint now) const
{
  if (m_ledger.Empty())
    return {};
  const auto blocked = BlockedParts(parts, software, now);
  if (blocked.empty() || MayProbe(blocked, now))
    return {};
  BlockStatus longest;
  for (const Fingerprint& part : blocked)
  {
    BlockStatus status = m_ledger.BlockStatusOf(part, now);
    status.retry_after = IsUnproven(part)
                             ? std::min(status.blocked_for, CrashLedger::UNCERTAIN_RETRY_AFTER)
                             : status.blocked_for;
    if (!longest.blocked || status.retry_after > longest.retry_after)
      longest = status;
  }
  return longest;
}

bool PartEvidence::NoteSent(const SharedParts& parts, std::string_view software, TimePoint now)
{
  if (m_ledger.Empty())
    return false;
  const auto blocked = BlockedParts(parts, software, now);
  std::erase_if(m_probed_at, [&](const auto& probe) {
    return now - probe.second > PROBE_INTERVAL;
  });
  for (const Fingerprint& part : blocked)
    m_probed_at[part] = now;
  return !blocked.empty();
}
} // namespace Crashes
