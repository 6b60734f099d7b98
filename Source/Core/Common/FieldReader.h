// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "Common/Json.h"
#include "Common/Units.h"

namespace Common
{
/// What a number must be.
struct ExpectedNumber
{
  std::string_view unit;
  double least = 0;
  double most = 0;
  double milliseconds = 0; ///< In one unit, where it is a span of time.
};

/// Reads the fields of a settings file and keeps a line for each that is missing or wrong, so that
/// whoever wrote the file sees all of it at once. Paths are JSON pointers: "/listen/front".
class FieldReader
{
public:
  /// `fields` must outlive the reader.
  explicit FieldReader(const Json& fields) : m_fields(fields) {}

  /// A text that is needed; empty where it is missing.
  std::string Text(const char* path);
  /// A number that is needed; the least one allowed where it is missing.
  double Number(const char* path, const ExpectedNumber& expected);
  /// A number that may be left out.
  double NumberOr(const char* path, const ExpectedNumber& expected, double fallback);
  /// A span of time that may be left out.
  Milliseconds SpanOr(const char* path, const ExpectedNumber& expected, Milliseconds fallback);

  /// True or false; may be left out.
  bool FlagOr(const char* path, bool fallback);

  /// A text that is needed and that `parse` turns into a `Result<T>`; an empty T where it fails.
  template <typename Parse>
  auto Parsed(const char* path, std::string_view expected, Parse parse)
  {
    using Value = std::decay_t<decltype(*parse(std::string()))>;
    const Json* field = Find(path);
    if (field != nullptr && field->is_string())
      if (const auto value = parse(field->get<std::string>()))
        return Value(*value);
    NoteWrong(path, expected);
    return Value();
  }
  /// All that is wrong, separated by semicolons; empty where nothing is.
  const std::string& Problems() const { return m_problems; }

private:
  const Json* Find(const char* path) const;
  void NoteWrong(const char* path, std::string_view expected);
  bool Read(const char* path, const ExpectedNumber& expected, double& value);

  const Json& m_fields;
  std::string m_problems;
};
} // namespace Common
