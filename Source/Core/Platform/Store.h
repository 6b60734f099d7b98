// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Platform/HttpPlatform.h"
#include "Platform/Types.h"

namespace Platform
{
/// Determines the outcome of every transaction, also if a response is lost. Each transaction also
/// creates a receipt row with a unique key, on the condition that the row does not exist. Resending
/// the transaction is therefore safe, and a conflict on the receipt means that an earlier attempt
/// took effect. The sender's next transaction removes the receipt. Every transaction must have a
/// condition on a row that it rewrites. Its success makes that condition false for good, so that a
/// delayed copy cannot take effect after the receipt was removed.
template <PlatformClient Client>
class BasicStore
{
public:
  BasicStore(Client& client, std::string receipt_prefix)
      : m_client(client), m_receipt_prefix("receipt/" + std::move(receipt_prefix) + "/")
  {
  }

  /// Retries until the outcome is known. Fails with OutcomeUnknown only if the platform does not
  /// confirm the outcome before `deadline`, and with NotSent if certainly nothing reached it.
  Common::Task<Common::Result<CommitOutcome>> Commit(Transaction transaction,
                                                     Common::TimePoint deadline)
  {
    const std::string receipt = m_receipt_prefix + Common::NewId("");
    const std::vector<std::string> old_receipts = AddReceipt(transaction, receipt);
    bool maybe_sent = false;
    Common::Milliseconds backoff = INITIAL_BACKOFF;
    while (true)
    {
      const auto left = std::chrono::duration_cast<Common::Milliseconds>(deadline - Common::Now());
      const auto timeout = std::clamp(left, MIN_TIMEOUT, MAX_TIMEOUT);
      auto outcome = co_await m_client.Commit(transaction, timeout);
      if (outcome)
      {
        RecordSuccess();
        CommitOutcome result = ResolveByReceipt(*outcome, receipt);
        // If the transaction did not commit, a later one removes the receipts.
        if (!result.committed)
          m_old_receipts.insert(m_old_receipts.end(), old_receipts.begin(), old_receipts.end());
        else
          m_old_receipts.push_back(receipt);
        co_return result;
      }
      RecordFailure();
      maybe_sent = maybe_sent || outcome.Reason().kind != Common::FailureKind::NotSent;
      if (Common::Now() + backoff >= deadline)
      {
        m_old_receipts.insert(m_old_receipts.end(), old_receipts.begin(), old_receipts.end());
        co_return Common::Failure{maybe_sent ? Common::FailureKind::OutcomeUnknown
                                             : Common::FailureKind::NotSent,
                                  outcome.Reason().detail};
      }
      Common::LogEvent(Common::LogLevel::Warning, "platform.commit_unsettled",
                       {{"receipt", receipt}, {"reason", outcome.Reason().detail}});
      co_await Common::Sleep{backoff};
      backoff = std::min(backoff * 2, MAX_BACKOFF);
    }
  }

  Common::Task<Common::Result<std::vector<StoredRow>>> Read(std::vector<std::string> keys)
  {
    auto rows = co_await m_client.Read(std::move(keys));
    RecordResult(static_cast<bool>(rows));
    co_return rows;
  }

  Common::Task<Common::Result<StoredRow>> ReadOne(std::string key)
  {
    std::vector<std::string> keys;
    keys.push_back(std::move(key));
    auto rows = co_await Read(std::move(keys));
    if (!rows)
      co_return rows.Reason();
    if (rows->size() != 1)
      co_return Common::Failure{Common::FailureKind::Protocol,
                                "the response does not have exactly one row"};
    co_return rows->front();
  }

  Common::Task<Common::Result<std::vector<StoredRow>>> List(std::string prefix)
  {
    auto rows = co_await m_client.List(std::move(prefix));
    RecordResult(static_cast<bool>(rows));
    co_return rows;
  }

  Common::Task<Common::Result<std::vector<VmEntry>>> ListVms()
  {
    auto entries = co_await m_client.ListVms();
    RecordResult(static_cast<bool>(entries));
    co_return entries;
  }

  Common::Task<Common::Result<Common::Done>> PutObject(std::string key, std::string content)
  {
    return m_client.PutObject(std::move(key), std::move(content));
  }

  Common::Task<Common::Result<std::string>> GetObject(std::string key)
  {
    return m_client.GetObject(std::move(key));
  }

  /// True if at least DOWN_AFTER calls in a row failed (object calls are not counted). Requests
  /// that need a claim are then refused at once. The table follower keeps calling, and its first
  /// successful call ends this state.
  bool IsDown() const { return m_consecutive_failures >= DOWN_AFTER; }

private:
  static constexpr int DOWN_AFTER = 2;
  static constexpr Common::Milliseconds INITIAL_BACKOFF{20};
  static constexpr Common::Milliseconds MAX_BACKOFF{500};
  static constexpr Common::Milliseconds MIN_TIMEOUT{50};
  static constexpr Common::Milliseconds MAX_TIMEOUT{1000};

  /// Adds the creation of `receipt` and the removal of receipts that are no longer needed, whose
  /// keys it returns.
  std::vector<std::string> AddReceipt(Transaction& transaction, const std::string& receipt)
  {
    transaction.conditions.push_back({receipt, 0});
    transaction.writes.push_back({receipt, "1"});
    std::vector<std::string> old_receipts = std::exchange(m_old_receipts, {});
    for (const std::string& key : old_receipts)
      transaction.writes.push_back({key, std::nullopt});
    return old_receipts;
  }

  static CommitOutcome ResolveByReceipt(const CommitOutcome& outcome, const std::string& receipt)
  {
    if (outcome.committed)
      return outcome;
    const auto found = std::ranges::find(outcome.conflicts, receipt, &StoredRow::key);
    if (found == outcome.conflicts.end())
      return outcome;
    return {true, found->version, {}};
  }

  void RecordResult(bool success) { success ? RecordSuccess() : RecordFailure(); }
  void RecordSuccess() { m_consecutive_failures = 0; }
  void RecordFailure() { ++m_consecutive_failures; }

  Client& m_client;
  std::string m_receipt_prefix;
  std::vector<std::string> m_old_receipts;
  int m_consecutive_failures = 0;
};

using Store = BasicStore<HttpPlatform>;
} // namespace Platform
