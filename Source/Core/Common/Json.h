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

/// Parses `text`. Returns nothing if it is not valid JSON.
std::optional<Json> ParseJson(std::string_view text);

/// Serialises `value`. Invalid UTF-8 in strings is replaced instead of throwing an exception.
std::string DumpJson(const Json& value);

/// Returns the member `key` of an object as `T`, or `fallback` if it is missing or of another type.
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

/// Returns the member `key` if it is an integer in the range of std::int64_t, otherwise nothing.
std::optional<std::int64_t> WholeNumber(const Json& object, const char* key);

/// Returns the member `key` if it is an array, otherwise an empty array.
const Json& GetArray(const Json& object, const char* key);
} // namespace Common
