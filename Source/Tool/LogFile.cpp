// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/LogFile.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <utility>

namespace Tool
{
namespace
{
/// The form of a timestamp up to the milliseconds; 0 stands for any digit.
constexpr std::string_view TIMESTAMP_FORM = "0000-00-00T00:00:00.000";

bool HasTimestampAt(std::string_view line, std::size_t at)
{
  const auto matches = [](char form, char actual) {
    return form == '0' ? std::isdigit(static_cast<unsigned char>(actual)) != 0 : form == actual;
  };
  return line.size() - at >= TIMESTAMP_FORM.size() &&
         std::ranges::equal(TIMESTAMP_FORM, line.substr(at, TIMESTAMP_FORM.size()), matches);
}

/// Returns where the daemon's own line begins: at the first timestamp before the event. Returns 0
/// if there is none.
std::size_t FindDaemonLine(std::string_view line, std::size_t event)
{
  for (std::size_t at = 0; at < event; ++at)
    if (HasTimestampAt(line, at))
      return at;
  return 0;
}

/// Reads a quoted value whose opening quote is at `at`, and moves `at` behind the closing quote.
/// Returns nullopt if there is none.
std::optional<std::string> ReadQuoted(std::string_view text, std::size_t& at)
{
  std::string value;
  for (++at; at < text.size(); ++at)
  {
    if (text[at] == '"')
    {
      ++at;
      return value;
    }
    if (text[at] == '\\' && at + 1 < text.size())
      ++at;
    value += text[at];
  }
  return std::nullopt;
}
} // namespace

std::string LogLine::Timestamp() const
{
  return HasTimestampAt(text, 0) ? text.substr(0, TIMESTAMP_FORM.size()) : "";
}

Common::Result<LogFields> ParseFields(std::string_view text)
{
  LogFields fields;
  std::size_t at = 0;
  while (at < text.size())
  {
    if (text[at] == ' ')
    {
      ++at;
      continue;
    }
    const auto key_end = std::min(text.find_first_of(" =", at), text.size());
    const std::string key(text.substr(at, key_end - at));
    at = key_end;
    // Words such as the time and the level have no value.
    if (at == text.size() || text[at] == ' ')
      continue;
    ++at;
    if (at < text.size() && text[at] == '"')
    {
      auto value = ReadQuoted(text, at);
      if (!value)
        return {Common::FailureKind::InvalidInput, "the value of " + key + " has no closing quote"};
      fields.insert_or_assign(key, *std::move(value));
      continue;
    }
    const auto value_end = std::min(text.find(' ', at), text.size());
    fields.insert_or_assign(key, std::string(text.substr(at, value_end - at)));
    at = value_end;
  }
  return fields;
}

std::string FieldValue(const std::string& line, const std::string& key)
{
  const auto at = line.find(" " + key + "=");
  if (at == std::string::npos)
    return "";
  const auto begin = at + key.size() + 2;
  if (begin < line.size() && line[begin] == '"')
    return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
  return line.substr(begin, line.find(' ', begin) - begin);
}

Common::Result<Common::Done>
ReadLogFile(const std::string& file,
            const std::function<std::optional<Common::Failure>(LogLine)>& visit)
{
  const auto unreadable = [&file] {
    return Common::Failure{Common::FailureKind::InvalidInput,
                           "cannot read " + file + ": " + std::strerror(errno)};
  };
  std::ifstream in(file);
  if (!in)
    return unreadable();
  std::size_t number = 0;
  for (std::string text; std::getline(in, text);)
  {
    ++number;
    const auto event = text.find(" event=");
    if (event == std::string::npos)
      continue;
    text.erase(0, FindDaemonLine(text, event));
    if (auto failure = visit({file, number, std::move(text), !in.eof()}))
      return *std::move(failure);
  }
  // A directory can be opened but not read.
  if (in.bad())
    return unreadable();
  return Common::Done();
}
} // namespace Tool
