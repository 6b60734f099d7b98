// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/FieldReader.h"

#include <algorithm>

namespace Common
{
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
  NoteWrong(path, "a text");
  return "";
}

bool FieldReader::Read(const char* path, const ExpectedNumber& expected, double& value)
{
  const Json* field = Find(path);
  if (field != nullptr && field->is_number())
  {
    const double found = field->get<double>();
    if (found >= expected.least && found <= expected.most)
    {
      value = found;
      return true;
    }
  }
  NoteWrong(path, std::string(expected.unit) + " between " + Json(expected.least).dump() + " and " +
                      Json(expected.most).dump());
  return false;
}

double FieldReader::Number(const char* path, const ExpectedNumber& expected)
{
  double value = expected.least;
  Read(path, expected, value);
  return value;
}

double FieldReader::NumberOr(const char* path, const ExpectedNumber& expected, double fallback)
{
  if (Find(path) != nullptr)
    Read(path, expected, fallback);
  return fallback;
}

Milliseconds FieldReader::SpanOr(const char* path, const ExpectedNumber& expected,
                                 Milliseconds fallback)
{
  const double units = static_cast<double>(fallback.count()) / expected.milliseconds;
  const double read = NumberOr(path, expected, units);
  return Milliseconds(static_cast<std::int64_t>(read * expected.milliseconds));
}

bool FieldReader::FlagOr(const char* path, bool fallback)
{
  const Json* field = Find(path);
  if (field == nullptr)
    return fallback;
  if (field->is_boolean())
    return field->get<bool>();
  NoteWrong(path, "true or false");
  return fallback;
}

void FieldReader::NoteWrong(const char* path, std::string_view expected)
{
  std::string name(path + 1);
  std::ranges::replace(name, '/', '.');
  const Json* found = Find(path);
  m_problems += m_problems.empty() ? "" : "; ";
  m_problems += name + ": expected " + std::string(expected) + ", found " +
                (found == nullptr ? "nothing" : DumpJson(*found));
}
} // namespace Common
