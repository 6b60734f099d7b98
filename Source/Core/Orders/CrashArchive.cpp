// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/CrashArchive.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Daemons/Codec.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;

/// Below the platform's limit of 64 KB per row.
constexpr std::size_t MAX_ROW_BYTES = 48000;
/// Initial delay after a write that failed or conflicted; doubles with each failure. Jitter is
/// added, since all daemons that had requests at a server may write at the same time.
constexpr std::int64_t FIRST_RETRY_DELAY_MS = 150;
constexpr int MAX_DOUBLINGS = 4;
/// Longer ages and blocks, which only a foreign writer can have written, count as this.
constexpr std::int64_t MAX_TIME_MS = Milliseconds(std::chrono::hours(24)).count();

std::int64_t Later(std::int64_t age_ms, std::int64_t by_ms)
{
  return std::clamp<std::int64_t>(age_ms, 0, MAX_TIME_MS) + by_ms;
}

std::int64_t AgeOfLastCrash(const Crashes::CaseLine& line)
{
  if (line.server_crashes.empty())
    return 0;
  return std::ranges::min(line.server_crashes, {}, &Crashes::CrashLine::age_ms).age_ms;
}

void AddAge(Crashes::CaseLine& line, std::int64_t by_ms)
{
  for (Crashes::CrashLine& ending : line.server_crashes)
  {
    ending.age_ms = Later(ending.age_ms, by_ms);
    ending.sent_age_ms = Later(ending.sent_age_ms, by_ms);
  }
  if (line.last_success_age_ms >= 0)
    line.last_success_age_ms = Later(line.last_success_age_ms, by_ms);
  line.blocked_for_ms = std::clamp<std::int64_t>(line.blocked_for_ms, by_ms, MAX_TIME_MS) - by_ms;
}
} // namespace

void CrashArchive::OnRow(const ArchiveRow& row)
{
  if (row.version <= m_version)
    return;
  m_version = row.version;
  if (row.value.empty())
  {
    m_row.clear();
    return;
  }
  auto archived = Daemons::Decode<ArchivedCases>(row.value);
  if (!archived)
  {
    Common::LogEvent(Common::LogLevel::Error, "crash-row-malformed",
                     {{"version", row.version}, {"reason", archived.Reason().detail}});
    return;
  }
  const std::int64_t now = Common::UnixTime().count();
  const std::int64_t age = now - std::clamp(archived->written_at, now - MAX_TIME_MS, now);
  m_row = std::move(archived->cases);
  std::erase_if(m_row, [age](const Crashes::CaseLine& line) {
    return Later(AgeOfLastCrash(line), age) - Crashes::CrashLedger::RETENTION.count() >
           line.blocked_for_ms;
  });
  for (Crashes::CaseLine& line : m_row)
    AddAge(line, age);
  m_dispatcher.MergeCrashCases(m_row);
}

CrashArchive::CaseKeys CrashArchive::CaseKeysOf(const std::vector<Crashes::CaseLine>& cases,
                                                ArchiveRole role)
{
  CaseKeys keys;
  for (const Crashes::CaseLine& line : cases)
    if (role == ArchiveRole::WithoutHolder)
      keys.emplace(line.request, line.blocks, line.server_crashes.size());
    else if (line.blocked_for_ms > 0)
      keys.emplace(line.request, line.blocks, 0);
  return keys;
}

void CrashArchive::Tick(ArchiveRole role, Common::TimePoint now)
{
  const Crashes::CrashLedger& ledger = m_dispatcher.CrashCases();
  const bool is_new = ledger.Revision() != m_compared_revision || role != m_compared_role;
  if (role == ArchiveRole::Reader || m_call_pending || now < m_next_write_at || !is_new)
    return;
  const std::size_t min_crashes = role == ArchiveRole::WithoutHolder ? 1 : 2;
  std::vector<Crashes::CaseLine> cases = ledger.MostSevere(min_crashes, now);
  m_compared_revision = ledger.Revision();
  m_compared_role = role;
  if (CaseKeysOf(cases, role) != CaseKeysOf(m_row, role))
    Write(std::move(cases));
}

void CrashArchive::Write(std::vector<Crashes::CaseLine> cases)
{
  ArchivedCases archived{Common::UnixTime().count(), std::move(cases)};
  std::string value = Daemons::Encode(archived);
  while (value.size() > MAX_ROW_BYTES)
  {
    // The least important cases are at the end.
    archived.cases.resize(archived.cases.size() / 2);
    value = Daemons::Encode(archived);
  }
  m_pending_cases = std::move(archived.cases);
  m_call_pending = true;
  m_access.replace(m_version, value, [this](Common::Result<std::int64_t> version) {
    m_call_pending = false;
    OnWriteResult(std::move(version));
  });
}

void CrashArchive::OnWriteResult(Common::Result<std::int64_t> version)
{
  if (version)
  {
    m_failures = 0;
    m_version = std::max(m_version, *version);
    m_row = std::move(m_pending_cases);
    Common::LogEvent(Common::LogLevel::Info, "crash-row-written",
                     {{"version", *version}, {"cases", m_row.size()}});
    return;
  }
  Common::LogEvent(Common::LogLevel::Warning, "crash-row-write-failed",
                   {{"reason", Common::ToString(version.Reason().kind)}});
  m_compared_revision = 0;
  DelayNextWrite();
  if (version.Reason().kind == Common::FailureKind::Conflict)
    RereadRow();
}

void CrashArchive::DelayNextWrite()
{
  const std::int64_t delay = FIRST_RETRY_DELAY_MS << std::min(m_failures++, MAX_DOUBLINGS);
  const auto jitter =
      static_cast<std::int64_t>(Common::SharedRandom()() % static_cast<std::uint64_t>(delay));
  m_next_write_at = Common::Now() + Milliseconds(delay + jitter);
}

void CrashArchive::RereadRow()
{
  m_call_pending = true;
  m_access.read([this](Common::Result<ArchiveRow> row) {
    m_call_pending = false;
    if (row)
      OnRow(*row);
    else
      Common::LogEvent(Common::LogLevel::Warning, "crash-row-unread",
                       {{"reason", Common::ToString(row.Reason().kind)}});
  });
}
} // namespace Orders
