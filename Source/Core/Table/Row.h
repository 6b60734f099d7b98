// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Failure.h"
#include "Common/Json.h"

namespace Table
{
/// The kind of object that a row of the operators' table defines.
enum class RowKind
{
  DataCentre,    ///< A data centre by name.
  Service,       ///< A calling service: weight, limit of concurrent requests, key hash in `value`.
  Pool,          ///< A group of backend servers that load the same models.
  BackendServer, ///< A backend server: parent = pool, data centre, address, memory, fencing.
  Model,   ///< A model: parent = pool, memory, replicas, limit of concurrent requests per replica.
  Version, ///< A version: parent = model, share of the traffic as weight, replicas.
  Adapter, ///< An adapter: parent = model or MODEL.VERSION, memory, replicas.
  PlainService, ///< A plain service: parent = pool.
  Call,         ///< A call of a plain service: parent = service, value = path, repeatable.
  Setting,      ///< A number or text for the whole system in `value`.
};

std::string_view ToString(RowKind kind);
std::optional<RowKind> ParseRowKind(std::string_view text);

/// One row of the table. Columns that its kind does not use are empty.
struct Row
{
  RowKind kind = RowKind::Setting;
  std::string name;
  std::string parent;
  std::string data_centre;
  std::string address;
  std::optional<std::int64_t> memory_mb;
  std::optional<std::int64_t> replicas;
  std::optional<std::int64_t> weight;
  std::optional<std::int64_t> limit;
  std::optional<std::int64_t> deadline_ms;
  std::optional<bool> repeatable;
  std::string fencing; ///< "checks" or "ignores".
  std::string value;

  bool operator==(const Row&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(kind, name, parent, data_centre, address, memory_mb, replicas, weight, limit,
            deadline_ms, repeatable, fencing, value);
  }
};

/// Returns the key that identifies a row in the table, made of kind and name.
std::string RowKey(RowKind kind, std::string_view name);
std::string RowKey(const Row& row);

Common::Json ToJson(const Row& row);
Common::Result<Row> RowFromJson(const Common::Json& json);
} // namespace Table
