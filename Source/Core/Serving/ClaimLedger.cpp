// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/ClaimLedger.h"

#include <algorithm>

namespace Serving
{
namespace
{
using Common::Done;
using Common::Failure;
using Common::FailureKind;
using Common::Result;
using Common::Task;
using Platform::CommitOutcome;

constexpr int MAX_ROUNDS = 5;
} // namespace

Result<Done> RequireCommitted(const Result<Platform::CommitOutcome>& outcome)
{
  if (!outcome)
    return outcome.Reason();
  if (!outcome->committed)
    return {FailureKind::Conflict, "another row of the transaction was changed concurrently"};
  return Done{};
}

ClaimLedger::ClaimLedger(Platform::Store& store, Common::VmId server)
    : m_store(store), m_server(std::move(server))
{
}

Result<Done> ClaimLedger::SetRow(const Platform::StoredRow& stored)
{
  auto row = ParseServerRow(stored.value);
  if (!row)
    return row.Reason();
  if (!m_known || stored.version != m_version)
    m_row_received_at = Common::Now();
  m_row = std::move(*row);
  m_version = stored.version;
  m_known = true;
  return Done{};
}

Task<Result<Done>> ClaimLedger::Refresh()
{
  const auto stored = co_await m_store.ReadOne(ServerKey(m_server));
  if (!stored)
    co_return stored.Reason();
  // A slow read must not overwrite the result of a commit that completed in the meantime.
  if (m_known && stored->version < m_version)
    co_return Done{};
  co_return SetRow(*stored);
}

Task<Result<CommitOutcome>> ClaimLedger::Update(Edit edit, Common::TimePoint deadline)
{
  const auto guard = co_await m_mutex.Lock();
  const std::string key = ServerKey(m_server);
  for (int round = 0; round < MAX_ROUNDS; ++round)
  {
    if (!m_known)
    {
      const auto refreshed = co_await Refresh();
      if (!refreshed)
        co_return Failure{FailureKind::NotSent, refreshed.Reason().detail};
    }
    ServerRow row = m_row;
    Platform::Transaction transaction;
    if (auto failure = edit(row, transaction))
      co_return *failure;
    transaction.conditions.push_back({key, m_version});
    transaction.writes.push_back({key, Serialize(row)});
    const auto outcome = co_await m_store.Commit(transaction, deadline);
    if (!outcome)
    {
      m_known = false;
      co_return outcome.Reason();
    }
    if (outcome->committed)
    {
      m_row = std::move(row);
      m_version = outcome->version;
      m_row_received_at = Common::Now();
      co_return *outcome;
    }
    const auto changed = std::ranges::find(outcome->conflicts, key, &Platform::StoredRow::key);
    if (changed == outcome->conflicts.end())
      co_return *outcome;
    const auto replaced = SetRow(*changed);
    if (!replaced)
      co_return replaced.Reason();
  }
  co_return Failure{FailureKind::Conflict,
                    "the row of " + m_server.Get() + " was changed concurrently too often"};
}
} // namespace Serving
