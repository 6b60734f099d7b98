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
/// A row of the transactional table service. Version 0 means that the row does not exist; each
/// write sets a version higher than all earlier ones.
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

/// Writes `value`, or removes the row if there is no value.
struct Write
{
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect together if all conditions hold; otherwise none does.
struct Transaction
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The confirmed outcome of a transaction.
struct CommitOutcome
{
  bool committed = false;
  std::int64_t version = 0;         ///< Version of the written rows, if committed.
  std::vector<StoredRow> conflicts; ///< Current rows whose conditions failed, if not committed.
};

enum class VmState
{
  Live,
  Leaving,
};

/// An entry of the platform's list of VMs, which may be out of date.
struct VmEntry
{
  Common::VmId vm;
  std::string role; ///< "entry" or "backend".
  Common::DataCentreId data_centre;
  VmState state = VmState::Live;
  std::string address; ///< IP:port for messages between daemons; entry VMs only.
};

/// The interface that drumpond requires of a platform. To support another platform, implement
/// these calls in a class. `Commit` fails with NotSent, or with OutcomeUnknown or Timeout if the
/// transaction may have taken effect.
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
