// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Commands that read files and need no daemon: tracing a request through the logs, counting the
// requests in them, and validating a settings file.

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "Tool/Commands.h"
#include "Tool/LogFile.h"
#include "Tool/RequestAccount.h"
#include "platform/Decode.h"

namespace Tool
{
namespace
{
/// Related events are shown from this long before the request's first line. A load from the weight
/// store takes several seconds, and the reason why a model was not loaded precedes the request.
constexpr std::int64_t CONTEXT_BEFORE_MS = 10000;

/// Reads the lines of all files that have an event, sorted by time.
Common::Result<std::vector<LogLine>> ReadLogs(const std::vector<std::string>& files)
{
  std::vector<LogLine> lines;
  for (const std::string& file : files)
  {
    const auto read = ReadLogFile(file, [&lines](LogLine line) -> std::optional<Common::Failure> {
      lines.push_back(std::move(line));
      return std::nullopt;
    });
    if (!read)
      return read.Reason();
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

/// Adds a line to the account if it is about requests or store calls. Returns what is wrong with
/// the line, without its position.
Common::Result<Common::Done> AddLine(RequestAccount& account, const LogLine& line)
{
  const bool is_request = line.text.find(" event=request ") != std::string::npos;
  const bool is_store_calls = line.text.find(" event=store-calls ") != std::string::npos;
  if (!is_request && !is_store_calls)
    return Common::Done();
  if (!line.complete)
  {
    // Its last number may be cut, which would go unnoticed.
    account.NoteCutLine();
    return Common::Done();
  }
  const auto fields = ParseFields(line.text);
  if (!fields)
    return fields.Reason();
  const auto event = fields->find("event");
  if (event->second == "store-calls")
    return account.AddStoreCalls(*fields);
  if (event->second != "request")
    return Common::Done();
  const auto request = ReadRequestLine(line.Timestamp(), *fields);
  if (!request)
    return request.Reason();
  account.AddRequest(*request);
  return Common::Done();
}

/// The fates with any requests; a column for each of the others would only widen the output.
std::vector<Fate> OccurringFates(const std::map<std::string, RequestAccount::Counts>& by_route)
{
  std::vector<Fate> fates;
  std::ranges::copy_if(AllFates(), std::back_inserter(fates), [&by_route](Fate fate) {
    return std::ranges::any_of(by_route, [fate](const auto& entry) {
      return entry.second.contains(fate);
    });
  });
  return fates;
}

std::vector<std::string> CountCells(const RequestAccount::Counts& counts,
                                    const std::vector<Fate>& fates)
{
  std::vector<std::string> cells{std::to_string(RequestAccount::Total(counts))};
  std::ranges::transform(fates, std::back_inserter(cells), [&counts](Fate fate) {
    const auto found = counts.find(fate);
    return std::to_string(found == counts.end() ? 0 : found->second);
  });
  return cells;
}

std::vector<std::string> AccountHeading(std::vector<std::string> heading,
                                        const std::vector<Fate>& fates)
{
  heading.push_back("REQUESTS");
  std::ranges::transform(fates, std::back_inserter(heading), [](Fate fate) {
    std::string name(ToString(fate));
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
      return static_cast<char>(std::toupper(letter));
    });
    return name;
  });
  return heading;
}

void PrintAccount(const RequestAccount& account, std::size_t seconds)
{
  const auto by_route = account.ByRoute();
  const auto fates = OccurringFates(by_route);
  std::vector<std::vector<std::string>> rows;
  const auto add_row = [&](std::vector<std::string> cells, const RequestAccount::Counts& counts) {
    std::ranges::move(CountCells(counts, fates), std::back_inserter(cells));
    rows.push_back(std::move(cells));
  };
  for (const auto& [route, counts] : by_route)
    add_row({route.empty() ? "-" : route}, counts);
  PrintColumns(AccountHeading({"ROUTE"}, fates), rows);
  rows.clear();
  for (const RequestAccount::Second& second : account.WorstSeconds(seconds))
    for (const auto& [route, counts] : second.by_route)
      add_row({second.second, std::to_string(second.lost), route.empty() ? "-" : route}, counts);
  std::cout << "\n";
  PrintColumns(AccountHeading({"WORST_SECOND", "LOST", "ROUTE"}, fates), rows);
  rows.clear();
  for (const auto& [call, calls] : account.StoreCalls())
    rows.push_back({call.first, call.second, std::to_string(calls)});
  std::cout << "\n";
  PrintColumns({"STORE_CALL", "RESULT", "CALLS"}, rows);
  if (account.SuppressedLines() > 0)
    std::cout << "\nrequest lines that the daemons omitted, as they had too many: "
              << account.SuppressedLines() << "\n";
  if (account.CutLines() > 0)
    std::cout << "\nfiles that end within a line, which is not counted: " << account.CutLines()
              << "\n";
}
} // namespace

ExitStatus ExplainLog(const Invocation& invocation)
{
  const std::string& id = invocation.arguments.front();
  const auto lines =
      ReadLogs({std::next(invocation.arguments.begin()), invocation.arguments.end()});
  if (!lines)
    return ReportFailure(lines.Reason());
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

ExitStatus AccountRequests(const Invocation& invocation)
{
  RequestAccount account;
  for (const std::string& file : invocation.arguments)
  {
    const auto read = ReadLogFile(file, [&](const LogLine& line) -> std::optional<Common::Failure> {
      const auto added = AddLine(account, line);
      if (added)
        return std::nullopt;
      return Common::Failure{added.Reason().kind, line.Position() + ": " + added.Reason().detail};
    });
    if (!read)
      return ReportFailure(read.Reason());
  }
  const auto seconds = static_cast<std::size_t>(std::max<std::int64_t>(invocation.count, 0));
  if (invocation.json)
    std::cout << account.ToJson(seconds).dump(2) << "\n";
  else
    PrintAccount(account, seconds);
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
