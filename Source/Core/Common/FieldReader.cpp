// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/FieldReader.h"

#include <algorithm>

namespace Common
{
namespace
{
/// The value as it stands in an error message.
std::string Quote(const Json& value)
{
  constexpr std::size_t MAX_BYTES = 200;
  const std::string text = DumpJson(value);
  return text.size() > MAX_BYTES ? text.substr(0, MAX_BYTES) + "..." : text;
}
} // namespace

const Json* FieldReader::Find(const char* path) const
{
  const Json::json_pointer pointer(path);
  return m_fields.contains(pointer) ? &m_fields.at(pointer) : nullptr;
}

std::string FieldReader::Text(const char* path)
{
  const Json* field = Find(path);
  if (field != nullptr && field->is_string() && !field->get<std::string>().empty())
    return field->get<std::string>();
  AddError(path, "a string");
  return "";
}

bool FieldReader::Read(const char* path, const ExpectedNumber& expected, double& value)
{
  const Json* field = Find(path);
  if (field != nullptr && field->is_number())
  {
    const double found = field->get<double>();
    if (found >= expected.min && found <= expected.max)
    {
      value = found;
      return true;
    }
  }
  AddError(path, std::string(expected.unit) + " between " + Json(expected.min).dump() + " and " +
                     Json(expected.max).dump());
  return false;
}

double FieldReader::Number(const char* path, const ExpectedNumber& expected)
{
  double value = expected.min;
  Read(path, expected, value);
  return value;
}

double FieldReader::NumberOr(const char* path, const ExpectedNumber& expected, double fallback)
{
  if (Find(path) != nullptr)
    Read(path, expected, fallback);
  return fallback;
}

Milliseconds FieldReader::DurationOr(const char* path, const ExpectedNumber& expected,
                                     Milliseconds fallback)
{
  const double units = static_cast<double>(fallback.count()) / expected.milliseconds_per_unit;
  const double read = NumberOr(path, expected, units);
  return Milliseconds(static_cast<std::int64_t>(read * expected.milliseconds_per_unit));
}

bool FieldReader::BoolOr(const char* path, bool fallback)
{
  const Json* field = Find(path);
  if (field == nullptr)
    return fallback;
  if (field->is_boolean())
    return field->get<bool>();
  AddError(path, "true or false");
  return fallback;
}

std::map<std::string, std::string> FieldReader::TextsOrNone(const char* path)
{
  const Json* field = Find(path);
  if (field == nullptr)
    return {};
  const bool is_valid = field->is_object() && std::ranges::all_of(*field, [](const Json& value) {
                          return value.is_string();
                        });
  if (is_valid)
    return field->get<std::map<std::string, std::string>>();
  AddError(path, "an object of strings");
  return {};
}

void FieldReader::AddError(const char* path, std::string_view expected)
{
  std::string name(path + 1);
  std::ranges::replace(name, '/', '.');
  const Json* found = Find(path);
  m_errors += m_errors.empty() ? "" : "; ";
  m_errors += name + ": expected " + std::string(expected) + ", found " +
              (found == nullptr ? "nothing" : Quote(*found));
}
} // namespace Common
