// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/RequestAccount.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <ranges>

namespace Tool
{
namespace
{
using Common::FailureKind;
using Common::Milliseconds;

/// A rejection within this time counts as one on arrival: the bound for rejections of requests that
/// are known not to be servable.
constexpr Milliseconds ON_ARRIVAL{50};
constexpr std::size_t SECOND_LENGTH = std::string_view("2026-12-02T16:00:00").size();

constexpr std::array<std::pair<Fate, std::string_view>, 18> FATE_NAMES{{
    {Fate::ServedInTime, "served_in_time"},
    {Fate::ServedLate, "served_late"},
    {Fate::ServedUnjudged, "served_unjudged"},
    {Fate::WaitedForLoad, "waited_for_load"},
    {Fate::WaitedForPlace, "waited_for_place"},
    {Fate::WaitedForUnits, "waited_for_units"},
    {Fate::WaitedForOrigin, "waited_for_origin"},
    {Fate::WaitedForConnection, "waited_for_connection"},
    {Fate::FailedAtServer, "failed_at_server"},
    {Fate::RejectedByServer, "rejected_by_server"},
    {Fate::RejectedOnArrival, "rejected_on_arrival"},
    {Fate::RejectedAfterWait, "rejected_after_wait"},
    {Fate::RejectedTwice, "rejected_twice"},
    {Fate::EndedAtDeadline, "ended_at_deadline"},
    {Fate::Blocked, "blocked"},
    {Fate::NotAdmitted, "not_admitted"},
    {Fate::DaemonStopped, "daemon_stopped"},
    {Fate::CallerLeft, "caller_left"},
}};

constexpr std::array<std::string_view, 9> OUTCOMES{"answered",   "refused",     "failed",
                                                   "broken_off", "caller_gone", "no_route",
                                                   "denied",     "over_limit",  "blocked"};

constexpr std::array<std::pair<std::string_view, Fate>, 5> WAITS{{
    {"load", Fate::WaitedForLoad},
    {"place", Fate::WaitedForPlace},
    {"units", Fate::WaitedForUnits},
    {"origin", Fate::WaitedForOrigin},
    {"connection", Fate::WaitedForConnection},
}};

bool Contains(std::string_view text, std::string_view part)
{
  return text.find(part) != std::string_view::npos;
}

std::optional<Fate> WaitOf(const RequestLine& line)
{
  const auto* found = std::ranges::find(WAITS, line.awaited, [](const auto& entry) {
    return entry.first;
  });
  return found == WAITS.end() ? std::nullopt : std::optional(found->second);
}

Fate ClassifyServed(const RequestLine& line)
{
  if (!line.target)
    return Fate::ServedUnjudged;
  const bool has_target = *line.target > Milliseconds(0);
  const bool late = has_target && line.first_event.value_or(line.took) > *line.target;
  return late ? Fate::ServedLate : Fate::ServedInTime;
}

/// True if the request was never connected to a server, for a reason of the network or of this VM.
bool LacksConnection(std::string_view why)
{
  constexpr std::array REASONS{"no socket available", "could not connect to the server",
                               "the path to the server is broken",
                               "the helper opened no tunnel to the server"};
  return std::ranges::any_of(REASONS, [why](const char* reason) {
    return Contains(why, reason);
  });
}

/// A request that ended without having run.
Fate ClassifyRefused(const RequestLine& line)
{
  if (LacksConnection(line.why))
    return Fate::WaitedForConnection;
  if (Contains(line.why, "the server rejected the request") ||
      Contains(line.why, "the retry budget is exhausted") ||
      Contains(line.why, "the route allows no further server"))
    return Fate::RejectedByServer;
  if (Contains(line.why, "the account's limit cannot be checked"))
    return Fate::WaitedForUnits;
  if (Contains(line.why, "the keys cannot be proven current"))
    return Fate::NotAdmitted;
  if (Contains(line.why, "which software version began the stream"))
    return Fate::WaitedForOrigin;
  const bool wait_expired = Contains(line.why, "no server could take");
  const bool at_deadline = Contains(line.why, "the deadline passed");
  if (wait_expired || at_deadline)
    if (const auto wait = WaitOf(line))
      return *wait;
  if (at_deadline)
    return Fate::EndedAtDeadline;
  const bool on_arrival = line.arrivals == 0 && line.took <= ON_ARRIVAL;
  return on_arrival ? Fate::RejectedOnArrival : Fate::RejectedAfterWait;
}

Common::Failure Malformed(const std::string& key, const std::string& value)
{
  return {FailureKind::InvalidInput, "malformed field " + key + "=" + value};
}

/// Reads an integer field; a missing one is an error unless there is a `fallback`.
Common::Result<std::int64_t> ReadInteger(const LogFields& fields, const std::string& key,
                                         std::optional<std::int64_t> fallback = std::nullopt)
{
  const auto found = fields.find(key);
  if (found == fields.end())
  {
    if (fallback)
      return *fallback;
    return {FailureKind::InvalidInput, "missing field " + key};
  }
  const std::string& text = found->second;
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return Malformed(key, text);
  return number;
}

Common::Result<std::string> ReadText(const LogFields& fields, const std::string& key)
{
  const auto found = fields.find(key);
  if (found == fields.end())
    return {FailureKind::InvalidInput, "missing field " + key};
  return found->second;
}

std::string TextOr(const LogFields& fields, const std::string& key)
{
  const auto found = fields.find(key);
  return found == fields.end() ? "" : found->second;
}

std::int64_t LostIn(const RequestAccount::Counts& counts)
{
  std::int64_t lost = 0;
  for (const auto& [fate, count] : counts)
    lost += IsServed(fate) ? 0 : count;
  return lost;
}

Common::Json CountsToJson(const RequestAccount::Counts& counts)
{
  Common::Json json = Common::Json::object();
  for (const auto& [fate, count] : counts)
    json[std::string(ToString(fate))] = count;
  json["requests"] = RequestAccount::Total(counts);
  json["lost"] = LostIn(counts);
  return json;
}

Common::Json RoutesToJson(const std::map<std::string, RequestAccount::Counts>& by_route)
{
  Common::Json json = Common::Json::object();
  for (const auto& [route, counts] : by_route)
    json[route] = CountsToJson(counts);
  return json;
}
} // namespace

const std::vector<Fate>& AllFates()
{
  static const std::vector<Fate> s_fates = [] {
    std::vector<Fate> fates;
    std::ranges::copy(std::views::keys(FATE_NAMES), std::back_inserter(fates));
    return fates;
  }();
  return s_fates;
}

std::string_view ToString(Fate fate)
{
  const auto* found = std::ranges::find(FATE_NAMES, fate, [](const auto& entry) {
    return entry.first;
  });
  return found == FATE_NAMES.end() ? "unknown" : found->second;
}

bool IsServed(Fate fate)
{
  return fate == Fate::ServedInTime || fate == Fate::ServedLate || fate == Fate::ServedUnjudged;
}

Common::Result<RequestLine> ReadRequestLine(const std::string& timestamp, const LogFields& fields)
{
  if (timestamp.empty())
    return {FailureKind::InvalidInput, "the line has no timestamp"};
  RequestLine line;
  line.timestamp = timestamp;
  for (const auto& [key, text] : {std::pair{"id", &line.id}, std::pair{"route", &line.route},
                                  std::pair{"outcome", &line.outcome}, std::pair{"why", &line.why}})
  {
    auto value = ReadText(fields, key);
    if (!value)
      return value.Reason();
    *text = *std::move(value);
  }
  if (std::ranges::find(OUTCOMES, line.outcome) == OUTCOMES.end())
    return Malformed("outcome", line.outcome);
  line.awaited = TextOr(fields, "awaited");
  if (!line.awaited.empty() && !WaitOf(line))
    return Malformed("awaited", line.awaited);
  const auto arrivals = ReadInteger(fields, "arrivals");
  const auto took = ReadInteger(fields, "ms");
  const auto first_event = ReadInteger(fields, "first_event_ms");
  const auto target = ReadInteger(fields, "target_ms", -1);
  const auto suppressed = ReadInteger(fields, "suppressed", 0);
  for (const auto* number : {&arrivals, &took, &first_event, &target, &suppressed})
    if (!*number)
      return number->Reason();
  line.arrivals = *arrivals;
  line.took = Milliseconds(*took);
  if (*first_event >= 0)
    line.first_event = Milliseconds(*first_event);
  if (*target >= 0)
    line.target = Milliseconds(*target);
  line.suppressed = *suppressed;
  return line;
}

Fate Classify(const RequestLine& line)
{
  if (line.outcome == "answered")
    return ClassifyServed(line);
  if (line.outcome == "blocked")
    return Fate::Blocked;
  if (line.outcome == "no_route" || line.outcome == "denied")
    return Fate::NotAdmitted;
  if (line.outcome == "over_limit")
    return Fate::WaitedForUnits;
  if (line.outcome == "caller_gone")
    return WaitOf(line).value_or(Fate::CallerLeft);
  if (Contains(line.why, "this process is shutting down"))
    return Fate::DaemonStopped;
  if (line.outcome == "refused")
    return ClassifyRefused(line);
  return Contains(line.why, "the deadline passed") ? Fate::EndedAtDeadline : Fate::FailedAtServer;
}

std::int64_t RequestAccount::Total(const Counts& counts)
{
  std::int64_t total = 0;
  for (const auto& [fate, count] : counts)
    total += count;
  return total;
}

void RequestAccount::AddRequest(const RequestLine& line)
{
  m_suppressed_lines += line.suppressed;
  AddAttempt(line.id.empty() ? m_without_id.emplace_back() : m_by_id[line.id], line);
}

void RequestAccount::AddAttempt(Request& request, const RequestLine& line)
{
  const Fate fate = Classify(line);
  const bool refused = line.outcome == "refused";
  request.rejections += refused ? 1 : 0;
  const bool is_decided = IsServed(request.fate);
  if (IsServed(fate) || (!is_decided && line.timestamp >= request.timestamp))
  {
    request.timestamp = line.timestamp;
    request.route = line.route;
    request.fate = fate;
    request.refused = refused;
  }
}

Common::Result<Common::Done> RequestAccount::AddStoreCalls(const LogFields& fields)
{
  auto kind = ReadText(fields, "kind");
  auto result = ReadText(fields, "result");
  const auto calls = ReadInteger(fields, "calls");
  if (!kind || !result)
    return kind ? result.Reason() : kind.Reason();
  if (!calls)
    return calls.Reason();
  m_store_calls[{*std::move(kind), *std::move(result)}] += *calls;
  return Common::Done();
}

Fate RequestAccount::FateOf(const Request& request)
{
  return request.refused && request.rejections > 1 ? Fate::RejectedTwice : request.fate;
}

template <typename Visitor>
void RequestAccount::ForEach(Visitor visit) const
{
  std::ranges::for_each(std::views::values(m_by_id), visit);
  std::ranges::for_each(m_without_id, visit);
}

std::map<std::string, RequestAccount::Counts> RequestAccount::ByRoute() const
{
  std::map<std::string, Counts> by_route;
  ForEach([&by_route](const Request& request) {
    ++by_route[request.route][FateOf(request)];
  });
  return by_route;
}

std::vector<RequestAccount::Second> RequestAccount::WorstSeconds(std::size_t count) const
{
  std::map<std::string, Second> by_second;
  ForEach([&by_second](const Request& request) {
    const Fate fate = FateOf(request);
    const std::string second = request.timestamp.substr(0, SECOND_LENGTH);
    Second& entry = by_second[second];
    entry.second = second;
    ++entry.by_route[request.route][fate];
    entry.lost += IsServed(fate) ? 0 : 1;
  });
  std::vector<Second> seconds;
  std::ranges::copy_if(std::views::values(by_second), std::back_inserter(seconds),
                       [](const Second& second) {
                         return second.lost > 0;
                       });
  std::ranges::stable_sort(seconds, std::greater(), &Second::lost);
  seconds.resize(std::min(seconds.size(), count));
  return seconds;
}

Common::Json RequestAccount::ToJson(std::size_t seconds) const
{
  Common::Json json = {{"routes", RoutesToJson(ByRoute())},
                       {"worst_seconds", Common::Json::array()},
                       {"store_calls", Common::Json::object()},
                       {"suppressed_lines", m_suppressed_lines},
                       {"cut_lines", m_cut_lines}};
  for (const Second& second : WorstSeconds(seconds))
    json["worst_seconds"].push_back({{"second", second.second},
                                     {"lost", second.lost},
                                     {"routes", RoutesToJson(second.by_route)}});
  for (const auto& [call, calls] : m_store_calls)
    json["store_calls"][call.first][call.second] = calls;
  return json;
}
} // namespace Tool
