// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>

#include "Common/Json.h"
#include "Common/Units.h"

namespace Common
{
/// Unit and allowed range of a number.
struct ExpectedNumber
{
  std::string_view unit;
  double min = 0;
  double max = 0;
  double milliseconds_per_unit = 0; ///< Milliseconds per unit, if the number is a duration.
};

/// Reads the fields of a settings file and collects a message for each missing or invalid one, so
/// that all errors are reported at once. Paths are JSON pointers: "/listen/front".
class FieldReader
{
public:
  /// `fields` must outlive the reader.
  explicit FieldReader(const Json& fields) : m_fields(fields) {}

  /// Reads a required, non-empty string. Returns an empty string on error.
  std::string Text(const char* path);
  /// Reads a required number. Returns the lowest allowed value on error.
  double Number(const char* path, const ExpectedNumber& expected);
  /// Reads an optional number.
  double NumberOr(const char* path, const ExpectedNumber& expected, double fallback);
  /// Reads an optional duration.
  Milliseconds DurationOr(const char* path, const ExpectedNumber& expected, Milliseconds fallback);

  /// Reads an optional boolean.
  bool BoolOr(const char* path, bool fallback);

  /// Reads an optional object whose values are all strings.
  std::map<std::string, std::string> TextsOrNone(const char* path);

  /// Reads a required string that `parse` converts to a `Result<T>`. Returns a default T on error.
  template <typename Parse>
  auto Parsed(const char* path, std::string_view expected, Parse parse)
  {
    using Value = std::decay_t<decltype(*parse(std::string()))>;
    const Json* field = Find(path);
    if (field != nullptr && field->is_string())
      if (const auto value = parse(field->get<std::string>()))
        return Value(*value);
    AddError(path, expected);
    return Value();
  }
  /// All error messages, separated by semicolons; empty if there are none.
  const std::string& Errors() const { return m_errors; }

private:
  const Json* Find(const char* path) const;
  void AddError(const char* path, std::string_view expected);
  bool Read(const char* path, const ExpectedNumber& expected, double& value);

  const Json& m_fields;
  std::string m_errors;
};
} // namespace Common
