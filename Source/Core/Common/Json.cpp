// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Json.h"

#include <limits>

namespace Common
{
namespace
{
constexpr int MAX_LEVELS = 100;

bool IsTooDeep(std::string_view text)
{
  int levels = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i)
  {
    const char byte = text[i];
    if (in_string && byte == '\\')
      ++i;
    else if (byte == '"')
      in_string = !in_string;
    else if (!in_string && (byte == '[' || byte == '{') && ++levels > MAX_LEVELS)
      return true;
    else if (!in_string && (byte == ']' || byte == '}'))
      --levels;
  }
  return false;
}
} // namespace

std::optional<Json> ParseJson(std::string_view text)
{
  if (IsTooDeep(text))
    return std::nullopt;
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
