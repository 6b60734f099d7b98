// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Failure.h"

namespace Common
{
using Json = nlohmann::json;

/// Parses `text`. Returns nothing if it is not valid JSON or nested more deeply than any of our
/// messages: values are copied and serialized by recursion, one level of the stack for each of
/// theirs.
std::optional<Json> ParseJson(std::string_view text);

/// Serialises `value`. Invalid UTF-8 in strings is replaced instead of throwing an exception.
std::string DumpJson(const Json& value);

/// True if `number` fits into `T`, its fraction dropped if `T` is an integer.
template <typename T>
bool IsInRange(const Json& number)
{
  if constexpr (std::is_floating_point_v<T>)
    return true;
  else if (number.is_number_unsigned())
    return std::in_range<T>(number.get<std::uint64_t>());
  else if (number.is_number_integer())
    return std::in_range<T>(number.get<std::int64_t>());
  else
  {
    // The largest integer may not be a double, the power of two above it is.
    const auto value = number.get<double>();
    return value >= static_cast<double>(std::numeric_limits<T>::min()) &&
           value < std::ldexp(1.0, std::numeric_limits<T>::digits);
  }
}

/// Returns the member `key` of an object as `T`, or `fallback` if it is missing, of another type or
/// out of range.
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
    return found->is_number() && IsInRange<T>(*found) ? found->template get<T>() : fallback;
}

/// Returns the member `key` if it is an integer in the range of std::int64_t, otherwise nothing.
std::optional<std::int64_t> WholeNumber(const Json& object, const char* key);

/// Returns the member `key` if it is an array, otherwise an empty array.
const Json& GetArray(const Json& object, const char* key);
} // namespace Common
