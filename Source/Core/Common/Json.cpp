// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Json.h"

#include <limits>

namespace Common
{
std::optional<Json> ParseJson(std::string_view text)
{
  Json value = Json::parse(text, nullptr, false);
  if (value.is_discarded())
    return std::nullopt;
  return value;
}

std::string DumpJson(const Json& value)
{
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::int64_t> WholeNumber(const Json& object, const char* key)
{
  if (!object.is_object())
    return std::nullopt;
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer())
    return std::nullopt;
  constexpr auto LARGEST = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (found->is_number_unsigned() && found->get<std::uint64_t>() > LARGEST)
    return std::nullopt;
  return found->get<std::int64_t>();
}

const Json& GetArray(const Json& object, const char* key)
{
  static const Json s_empty = Json::array();
  if (!object.is_object())
    return s_empty;
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : s_empty;
}
} // namespace Common
