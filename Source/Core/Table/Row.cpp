// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Table/Row.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Table
{
namespace
{
using Common::FailureKind;
using Common::Json;

constexpr std::array<std::pair<RowKind, std::string_view>, 10> KIND_NAMES{{
    {RowKind::DataCentre, "data_centre"},
    {RowKind::Service, "service"},
    {RowKind::Pool, "pool"},
    {RowKind::BackendServer, "backend_server"},
    {RowKind::Model, "model"},
    {RowKind::Version, "version"},
    {RowKind::Adapter, "adapter"},
    {RowKind::PlainService, "plain_service"},
    {RowKind::Call, "call"},
    {RowKind::Setting, "setting"},
}};

void PutText(Json& json, const char* key, const std::string& text)
{
  if (!text.empty())
    json[key] = text;
}

template <typename T>
void PutOptional(Json& json, const char* key, const std::optional<T>& value)
{
  if (value)
    json[key] = *value;
}

std::optional<std::int64_t> GetNumber(const Json& json, const char* key)
{
  const auto found = json.find(key);
  if (found == json.end() || !found->is_number_integer())
    return std::nullopt;
  return found->get<std::int64_t>();
}
} // namespace

std::string_view ToString(RowKind kind)
{
  const auto found = std::ranges::find(KIND_NAMES, kind, [](const auto& item) {
    return item.first;
  });
  return found == KIND_NAMES.end() ? "unknown" : found->second;
}

std::optional<RowKind> ParseRowKind(std::string_view text)
{
  const auto found = std::ranges::find(KIND_NAMES, text, [](const auto& item) {
    return item.second;
  });
  if (found == KIND_NAMES.end())
    return std::nullopt;
  return found->first;
}

std::string RowKey(RowKind kind, std::string_view name)
{
  return std::string(ToString(kind)) + "/" + std::string(name);
}

std::string RowKey(const Row& row)
{
  return RowKey(row.kind, row.name);
}

Json ToJson(const Row& row)
{
  Json json = {{"kind", ToString(row.kind)}, {"name", row.name}};
  PutText(json, "parent", row.parent);
  PutText(json, "data_centre", row.data_centre);
  PutText(json, "address", row.address);
  PutOptional(json, "memory_mb", row.memory_mb);
  PutOptional(json, "replicas", row.replicas);
  PutOptional(json, "weight", row.weight);
  PutOptional(json, "limit", row.limit);
  PutOptional(json, "deadline_ms", row.deadline_ms);
  PutOptional(json, "repeatable", row.repeatable);
  PutText(json, "fencing", row.fencing);
  PutText(json, "value", row.value);
  return json;
}

Common::Result<Row> RowFromJson(const Json& json)
{
  const auto kind = ParseRowKind(Common::GetOr(json, "kind", std::string()));
  if (!kind)
    return {FailureKind::InvalidInput, "the kind of the table row is unknown"};
  Row row;
  row.kind = *kind;
  row.name = Common::GetOr(json, "name", std::string());
  row.parent = Common::GetOr(json, "parent", std::string());
  row.data_centre = Common::GetOr(json, "data_centre", std::string());
  row.address = Common::GetOr(json, "address", std::string());
  row.memory_mb = GetNumber(json, "memory_mb");
  row.replicas = GetNumber(json, "replicas");
  row.weight = GetNumber(json, "weight");
  row.limit = GetNumber(json, "limit");
  row.deadline_ms = GetNumber(json, "deadline_ms");
  if (json.contains("repeatable"))
    row.repeatable = Common::GetOr(json, "repeatable", false);
  row.fencing = Common::GetOr(json, "fencing", std::string());
  row.value = Common::GetOr(json, "value", std::string());
  if (row.name.empty())
    return {FailureKind::InvalidInput, "the table row has no name"};
  return row;
}
} // namespace Table
