// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Log.h"

#include <map>

#include <glog/logging.h>

#include "Common/Loop.h"

namespace Common
{
namespace
{
constexpr int MAX_LINES_PER_SECOND = 40;

struct EventRate
{
  TimePoint second;
  int written = 0;
  int suppressed = 0;
};

/// Counts the event; true where the line may be written.
bool Admit(std::string_view event, int& suppressed)
{
  static std::map<std::string, EventRate, std::less<>> s_rates;
  auto found = s_rates.find(event);
  if (found == s_rates.end())
    found = s_rates.emplace(std::string(event), EventRate{}).first;
  EventRate& rate = found->second;
  const TimePoint now = Now();
  if (now - rate.second >= std::chrono::seconds(1))
  {
    suppressed = std::exchange(rate.suppressed, 0);
    rate.second = now;
    rate.written = 0;
  }
  if (rate.written >= MAX_LINES_PER_SECOND)
  {
    ++rate.suppressed;
    return false;
  }
  ++rate.written;
  return true;
}

std::string Quote(const std::string& value)
{
  if (value.find_first_of(" \"=\n\r\t") == std::string::npos && !value.empty())
    return value;
  std::string quoted = "\"";
  for (const char c : value)
  {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return quoted + '"';
}
} // namespace

void InitLog(const char* program)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
  int suppressed = 0;
  if (!Admit(event, suppressed))
    return;
  std::string line = "event=" + std::string(event);
  for (const LogField& field : fields)
    line += " " + std::string(field.key) + "=" + Quote(field.value);
  if (suppressed > 0)
    line += " suppressed=" + std::to_string(suppressed);
  switch (level)
  {
  case LogLevel::Info:
    LOG(INFO) << line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << line;
    break;
  case LogLevel::Error:
    LOG(ERROR) << line;
    break;
  }
}
} // namespace Common
