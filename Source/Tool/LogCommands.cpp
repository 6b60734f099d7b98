// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Commands that read files and need no daemon: tracing a request through the logs, and validating a
// settings file.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include "Tool/Commands.h"
#include "platform/Decode.h"

namespace Tool
{
namespace
{
/// Related events are shown from this long before the request's first line. A load from the weight
/// store takes several seconds, and the reason why a model was not loaded precedes the request.
constexpr std::int64_t CONTEXT_BEFORE_MS = 10000;
/// Length of a timestamp such as "2026-12-02T16:00:00.000", by which lines are sorted.
constexpr std::size_t TIMESTAMP_LENGTH = 23;

struct LogLine
{
  std::string file;
  std::string text;

  std::string Timestamp() const { return text.substr(0, TIMESTAMP_LENGTH); }
};

/// Returns the value of `key=value` or `key="value"` in a line, or an empty string.
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

std::optional<std::vector<LogLine>> ReadLogs(const std::vector<std::string>& files)
{
  std::vector<LogLine> lines;
  for (const std::string& file : files)
  {
    std::ifstream in(file);
    if (!in)
    {
      std::cerr << "drumpond: cannot read " << file << "\n";
      return std::nullopt;
    }
    for (std::string line; std::getline(in, line);)
      if (line.size() > TIMESTAMP_LENGTH && line.find(" event=") != std::string::npos)
        lines.push_back({file, std::move(line)});
  }
  std::ranges::stable_sort(lines, {}, &LogLine::Timestamp);
  return lines;
}

/// Returns the milliseconds since midnight. Logs that are read together may begin on consecutive
/// days, but the date is ignored: related events are selected correctly only if all of them lie on
/// the day of the request.
std::int64_t MillisecondsSinceMidnight(const std::string& timestamp)
{
  int hours = 0;
  int minutes = 0;
  double seconds = 0;
  char separator = 0;
  std::istringstream in(timestamp.substr(timestamp.find('T') + 1));
  in >> hours >> separator >> minutes >> separator >> seconds;
  constexpr int MINUTES_PER_HOUR = 60;
  constexpr int MS_PER_MINUTE = 60000;
  constexpr double MS_PER_SECOND = 1000;
  return static_cast<std::int64_t>(hours * MINUTES_PER_HOUR + minutes) * MS_PER_MINUTE +
         static_cast<std::int64_t>(seconds * MS_PER_SECOND);
}

/// Models, server instances and fingerprints that a request's lines name, and the time span of
/// these lines. Used to select related events.
struct RequestContext
{
  std::set<std::string> models;
  std::set<std::string> instances;
  std::set<std::string> fingerprints;
  std::string first_timestamp;
  std::string last_timestamp;
};

RequestContext CollectContext(const std::vector<LogLine>& lines, const std::string& id)
{
  RequestContext context;
  for (const LogLine& line : lines)
  {
    if (FieldValue(line.text, "id") != id)
      continue;
    if (context.first_timestamp.empty())
      context.first_timestamp = line.Timestamp();
    context.last_timestamp = line.Timestamp();
    const std::string artifact = FieldValue(line.text, "artifact");
    if (!artifact.empty())
      context.models.insert(artifact.substr(0, artifact.find('/')));
    if (const std::string instance = FieldValue(line.text, "instance"); !instance.empty())
      context.instances.insert(instance);
    if (const std::string fingerprint = FieldValue(line.text, "fingerprint"); !fingerprint.empty())
      context.fingerprints.insert(fingerprint);
  }
  return context;
}

/// True for events that blocked requests with the same fingerprint. They are shown regardless of
/// their time, since they may be minutes older than the request.
bool IsMatchingBlock(const LogLine& line, const RequestContext& context)
{
  return FieldValue(line.text, "event") == "request-blocked" &&
         context.fingerprints.contains(FieldValue(line.text, "fingerprint"));
}

/// True for events of the request's servers and models, and for changes of the order lease, the
/// table source and the configuration.
bool IsRelatedEvent(const LogLine& line, const RequestContext& context)
{
  const std::string event = FieldValue(line.text, "event");
  const bool is_request_event = event == "request" || event == "attempt-failed";
  if (is_request_event)
    return false;
  if (event.starts_with("lease-") || event.starts_with("table-source") || event == "configuration")
    return true;
  return context.instances.contains(FieldValue(line.text, "instance")) ||
         context.models.contains(FieldValue(line.text, "model"));
}
} // namespace

ExitStatus ExplainLog(const Invocation& invocation)
{
  const std::string& id = invocation.arguments.front();
  const auto lines =
      ReadLogs({std::next(invocation.arguments.begin()), invocation.arguments.end()});
  if (!lines)
    return ExitStatus::Usage;
  const RequestContext context = CollectContext(*lines, id);
  if (context.first_timestamp.empty())
  {
    std::cerr << "drumpond: no log line has the request id " << id << "\n";
    return ExitStatus::Failed;
  }
  const std::int64_t from = MillisecondsSinceMidnight(context.first_timestamp) - CONTEXT_BEFORE_MS;
  const std::int64_t to = MillisecondsSinceMidnight(context.last_timestamp);
  for (const LogLine& line : *lines)
  {
    const bool is_request_line = FieldValue(line.text, "id") == id;
    const std::int64_t at = MillisecondsSinceMidnight(line.Timestamp());
    const bool in_time_window = at >= from && at <= to;
    if (is_request_line || IsMatchingBlock(line, context) ||
        (in_time_window && IsRelatedEvent(line, context)))
      std::cout << (is_request_line ? "* " : "  ") << line.file << " " << line.text << "\n";
  }
  return ExitStatus::Ok;
}

ExitStatus CheckSettings(const Invocation& invocation)
{
  std::ifstream in(invocation.arguments.front());
  if (!in)
  {
    std::cerr << "drumpond: cannot read " << invocation.arguments.front() << "\n";
    return ExitStatus::Usage;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const auto settings = PlatformAdapter::DecodeSettings(text);
  if (!settings)
    return ReportFailure(settings.Reason());
  std::cout << "valid: " << settings->vm.Get() << " in " << settings->data_centre.Get()
            << ", callers at " << settings->callers.ToString() << "\n";
  return ExitStatus::Ok;
}
} // namespace Tool
