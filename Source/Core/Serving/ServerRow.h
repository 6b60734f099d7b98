// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "BackendServers/Types.h"
#include "Common/Failure.h"
#include "Common/Units.h"
#include "Decisions/Reconcile.h"
#include "Platform/Types.h"
#include "Table/Catalog.h"

namespace Serving
{
/// A claim on one replica slot and on memory of one backend server.
struct Claim
{
  Common::ClaimId id;
  Common::ArtifactId artifact;
  std::int64_t slot = 0;
  Common::MegaBytes memory;
  Decisions::ClaimState state = Decisions::ClaimState::Ordered;
  Common::VmId holder;
  Common::Incarnation holder_incarnation;
  Common::FencingNumber fence;
  Common::Incarnation server_incarnation;
};

/// The platform's row of one backend server. Its version orders all changes of its claims.
struct ServerRow
{
  Common::Incarnation incarnation;
  Common::MegaBytes capacity;
  Common::FencingNumber fence;
  std::vector<Claim> claims;

  Common::MegaBytes Claimed() const;
  Claim* Find(const Common::ClaimId& id);
  const Claim* FindArtifact(const Common::ArtifactId& id) const;
  /// The next fencing number; every order to the server has one of its own.
  Common::FencingNumber NextFence();
};

std::string ServerKey(const Common::VmId& vm);
std::string SlotKey(const Common::ArtifactId& artifact, std::int64_t slot);
/// The key of a table row in the platform, from its key in the table.
std::string TableRowKey(const std::string& row_key);

std::string Serialize(const ServerRow& row);
/// A missing row is an empty one. Fails with Protocol where the text is not a server row.
Common::Result<ServerRow> ParseServerRow(const std::string& text);

/// The server that holds a slot, from the value of the slot's row.
Common::VmId SlotHolder(const std::string& slot_value);

/// Adds the claim to the row and to the transaction: slot free, memory within the capacity, and the
/// table row still as it was seen. Fails with Overloaded where the memory does not suffice, with
/// Conflict where the server has a claim on the artifact already.
std::optional<Common::Failure> AddClaim(ServerRow& row, Platform::Transaction& transaction,
                                        const Common::VmId& server, const Claim& claim,
                                        const std::string& table_key, std::int64_t table_version);

/// Removes the claim from the row and frees its slot in the transaction.
void RemoveClaim(ServerRow& row, Platform::Transaction& transaction, const Common::ClaimId& id);
} // namespace Serving
