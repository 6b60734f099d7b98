// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Common/Task.h"
#include "Common/Units.h"

namespace Platform
{
/// A row of the transactional table service. Version 0 says that the row does not exist; each
/// write gives a version higher than all before.
struct StoredRow
{
  std::string key;
  std::int64_t version = 0;
  std::string value;
};

/// The transaction takes effect only if `key` still has `version`.
struct Condition
{
  std::string key;
  std::int64_t version = 0;
};

/// Puts `value`, or removes the row where there is none.
struct Write
{
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect together, or none.
struct Transaction
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// What became of a transaction for certain.
struct CommitOutcome
{
  bool committed = false;
  std::int64_t version = 0;         ///< Of the written rows, where committed.
  std::vector<StoredRow> conflicts; ///< The rows as they are, where not.
};

enum class VmState
{
  Live,
  Leaving,
};

/// One entry of the platform's list, which lags behind the truth.
struct VmEntry
{
  Common::VmId vm;
  std::string role; ///< "entry" or "backend".
  Common::DataCentreId data_centre;
  VmState state = VmState::Live;
  std::string address; ///< Of an entry VM: IP:port between daemons.
};

/// What drumpond needs of a platform. Another platform is one new class with these calls.
/// Failures of `Commit`: NotSent, or OutcomeUnknown/Timeout where it may have taken effect.
template <typename T>
concept PlatformClient = requires(T client, Transaction transaction, std::string text,
                                  std::vector<std::string> keys, Common::Milliseconds timeout)
{
  {
    client.Commit(transaction, timeout)
    } -> std::same_as<Common::Task<Common::Result<CommitOutcome>>>;
  {
    client.Read(keys)
    } -> std::same_as<Common::Task<Common::Result<std::vector<StoredRow>>>>;
  {
    client.List(text)
    } -> std::same_as<Common::Task<Common::Result<std::vector<StoredRow>>>>;
  {
    client.PutObject(text, text)
    } -> std::same_as<Common::Task<Common::Result<Common::Done>>>;
  {
    client.GetObject(text)
    } -> std::same_as<Common::Task<Common::Result<std::string>>>;
  {
    client.ListVms()
    } -> std::same_as<Common::Task<Common::Result<std::vector<VmEntry>>>>;
};
} // namespace Platform
