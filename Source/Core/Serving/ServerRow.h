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
/// Reservation of one replica slot of an artifact and of memory on one backend server.
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

/// The row of one backend server in the platform. All claims of the server are part of it, so the
/// row's version serializes their changes.
struct ServerRow
{
  Common::Incarnation incarnation;
  Common::MegaBytes capacity;
  Common::FencingNumber fence;
  std::vector<Claim> claims;

  Common::MegaBytes Claimed() const;
  Claim* Find(const Common::ClaimId& id);
  const Claim* FindArtifact(const Common::ArtifactId& id) const;
  /// Increments and returns the fencing number; every order to the server has a unique one.
  Common::FencingNumber NextFence();
};

std::string ServerKey(const Common::VmId& vm);
std::string SlotKey(const Common::ArtifactId& artifact, std::int64_t slot);
/// Converts the key of a table row to its key in the platform.
std::string TableRowKey(const std::string& row_key);

std::string Serialize(const ServerRow& row);
/// Parses a server row; an empty text gives an empty row. Fails with Protocol if the text is not a
/// JSON object.
Common::Result<ServerRow> ParseServerRow(const std::string& text);

/// Returns the server that has claimed a slot, given the value of the slot's row.
Common::VmId SlotHolder(const std::string& slot_value);

/// Adds the claim to the row and to the transaction, on the conditions that the slot is free and
/// that the table row is unchanged. Fails with Overloaded if the server lacks the memory, with
/// Conflict if the server already has a claim on the artifact.
std::optional<Common::Failure> AddClaim(ServerRow& row, Platform::Transaction& transaction,
                                        const Common::VmId& server, const Claim& claim,
                                        const std::string& table_key, std::int64_t table_version);

/// Removes the claim from the row and frees its slot in the transaction.
void RemoveClaim(ServerRow& row, Platform::Transaction& transaction, const Common::ClaimId& id);
} // namespace Serving
