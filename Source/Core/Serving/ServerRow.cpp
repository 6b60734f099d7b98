// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/ServerRow.h"

#include <algorithm>
#include <numeric>

#include "Common/Json.h"

namespace Serving
{
namespace
{
using Common::ArtifactId;
using Common::ClaimId;
using Common::Failure;
using Common::FailureKind;
using Common::FencingNumber;
using Common::GetOr;
using Common::Incarnation;
using Common::Json;
using Common::MegaBytes;
using Common::VmId;
using Decisions::ClaimState;

std::string_view ToString(ClaimState state)
{
  switch (state)
  {
  case ClaimState::Ordered:
    return "ordered";
  case ClaimState::Loaded:
    return "loaded";
  case ClaimState::Unloading:
    return "unloading";
  }
  return "ordered";
}

ClaimState ParseState(const std::string& text)
{
  if (text == "loaded")
    return ClaimState::Loaded;
  return text == "unloading" ? ClaimState::Unloading : ClaimState::Ordered;
}

Json ToJson(const Claim& claim)
{
  return {{"id", claim.id.Get()},
          {"artifact", claim.artifact.Get()},
          {"slot", claim.slot},
          {"memory_mb", claim.memory.Get()},
          {"state", ToString(claim.state)},
          {"holder", claim.holder.Get()},
          {"holder_incarnation", claim.holder_incarnation.Get()},
          {"fence", claim.fence.Get()},
          {"server_incarnation", claim.server_incarnation.Get()}};
}

Claim ClaimFromJson(const Json& json)
{
  Claim claim;
  claim.id = ClaimId(GetOr(json, "id", std::string()));
  claim.artifact = ArtifactId(GetOr(json, "artifact", std::string()));
  claim.slot = GetOr(json, "slot", std::int64_t(0));
  claim.memory = MegaBytes(GetOr(json, "memory_mb", std::int64_t(0)));
  claim.state = ParseState(GetOr(json, "state", std::string()));
  claim.holder = VmId(GetOr(json, "holder", std::string()));
  claim.holder_incarnation = Incarnation(GetOr(json, "holder_incarnation", std::string()));
  claim.fence = FencingNumber(GetOr(json, "fence", std::int64_t(0)));
  claim.server_incarnation = Incarnation(GetOr(json, "server_incarnation", std::string()));
  return claim;
}
} // namespace

MegaBytes ServerRow::Claimed() const
{
  return std::accumulate(claims.begin(), claims.end(), MegaBytes(0),
                         [](MegaBytes sum, const Claim& claim) {
                           return sum + claim.memory;
                         });
}

Claim* ServerRow::Find(const ClaimId& id)
{
  const auto found = std::ranges::find(claims, id, &Claim::id);
  return found == claims.end() ? nullptr : &*found;
}

const Claim* ServerRow::FindArtifact(const ArtifactId& id) const
{
  const auto found = std::ranges::find(claims, id, &Claim::artifact);
  return found == claims.end() ? nullptr : &*found;
}

FencingNumber ServerRow::NextFence()
{
  fence += FencingNumber(1);
  return fence;
}

std::string ServerKey(const VmId& vm)
{
  return "server/" + vm.Get();
}

std::string SlotKey(const ArtifactId& artifact, std::int64_t slot)
{
  return "slot/" + artifact.Get() + "/" + std::to_string(slot);
}

std::string TableRowKey(const std::string& row_key)
{
  return "table/current/row/" + row_key;
}

std::string Serialize(const ServerRow& row)
{
  Json claims = Json::array();
  std::ranges::transform(row.claims, std::back_inserter(claims), ToJson);
  const Json json = {{"incarnation", row.incarnation.Get()},
                     {"capacity_mb", row.capacity.Get()},
                     {"fence", row.fence.Get()},
                     {"claims", claims}};
  return Common::DumpJson(json);
}

Common::Result<ServerRow> ParseServerRow(const std::string& text)
{
  if (text.empty())
    return ServerRow{};
  const auto json = Common::ParseJson(text);
  if (!json || !json->is_object())
    return {FailureKind::Protocol, "a server row is not a JSON object"};
  ServerRow row;
  row.incarnation = Incarnation(GetOr(*json, "incarnation", std::string()));
  row.capacity = MegaBytes(GetOr(*json, "capacity_mb", std::int64_t(0)));
  row.fence = FencingNumber(GetOr(*json, "fence", std::int64_t(0)));
  std::ranges::transform(Common::GetArray(*json, "claims"), std::back_inserter(row.claims),
                         ClaimFromJson);
  return row;
}

VmId SlotHolder(const std::string& slot_value)
{
  const auto json = Common::ParseJson(slot_value);
  return VmId(json ? GetOr(*json, "server", std::string()) : std::string());
}

std::optional<Failure> AddClaim(ServerRow& row, Platform::Transaction& transaction,
                                const VmId& server, const Claim& claim,
                                const std::string& table_key, std::int64_t table_version)
{
  if (row.FindArtifact(claim.artifact))
    return Failure{FailureKind::Conflict,
                   "the artifact has a claim on " + server.Get() + " already"};
  if (row.Claimed() + claim.memory > row.capacity)
    return Failure{FailureKind::Overloaded, "not enough free memory on " + server.Get()};
  const std::string slot = SlotKey(claim.artifact, claim.slot);
  const Json slot_value = {{"server", server.Get()}, {"claim", claim.id.Get()}};
  row.claims.push_back(claim);
  transaction.conditions.push_back({slot, 0});
  transaction.conditions.push_back({table_key, table_version});
  transaction.writes.push_back({slot, Common::DumpJson(slot_value)});
  return std::nullopt;
}

void RemoveClaim(ServerRow& row, Platform::Transaction& transaction, const ClaimId& id)
{
  const Claim* claim = row.Find(id);
  if (!claim)
    return;
  transaction.writes.push_back({SlotKey(claim->artifact, claim->slot), std::nullopt});
  std::erase_if(row.claims, [&id](const Claim& item) {
    return item.id == id;
  });
}
} // namespace Serving
