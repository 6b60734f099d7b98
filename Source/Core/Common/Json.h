// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Failure.h"

namespace Common
{
using Json = nlohmann::json;

/// Parses `text`; gives nothing where it is not JSON.
std::optional<Json> ParseJson(std::string_view text);

/// Serialises `value`; invalid UTF-8 in strings is replaced, never thrown on.
std::string DumpJson(const Json& value);

/// The member `key` of an object as `T`, or `fallback` where it is missing or of another type.
template <typename T>
T GetOr(const Json& object, const char* key, T fallback)
{
  if (!object.is_object())
    return fallback;
  const auto found = object.find(key);
  if (found == object.end())
    return fallback;
  if constexpr (std::is_same_v<T, std::string>)
    return found->is_string() ? found->template get<T>() : fallback;
  else if constexpr (std::is_same_v<T, bool>)
    return found->is_boolean() ? found->template get<T>() : fallback;
  else
    return found->is_number() ? found->template get<T>() : fallback;
}

/// The member `key` where it is a whole number that 64 bits hold; nothing otherwise.
std::optional<std::int64_t> WholeNumber(const Json& object, const char* key);

/// The member `key` where it is an array, otherwise an empty array.
const Json& GetArray(const Json& object, const char* key);
} // namespace Common
