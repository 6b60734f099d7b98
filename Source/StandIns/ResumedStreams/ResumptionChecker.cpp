// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/ResumedStreams/ResumptionChecker.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

namespace ResumedStreams
{
namespace
{
/// Streams of a type from which on their share counts.
constexpr std::int64_t LEAST_STREAMS = 12;

/// The text between `begin` and `end` in a line; empty if it has none.
std::string Between(const std::string& line, std::string_view begin, char end)
{
  const auto at = line.find(begin);
  if (at == std::string::npos)
    return "";
  const auto from = at + begin.size();
  return line.substr(from, line.find(end, from) - from);
}

/// Reads why requests were refused from the daemons' logs, by id.
std::map<std::string, std::string> ReadRefusals(const std::string& log_directory)
{
  std::map<std::string, std::string> refusals;
  for (const auto& file : std::filesystem::directory_iterator(log_directory))
  {
    std::ifstream log(file.path());
    for (std::string line; std::getline(log, line);)
      if (line.find(" event=request ") != std::string::npos)
        refusals[Between(line, " id=", ' ')] = Between(line, " why=\"", '"');
  }
  return refusals;
}
} // namespace

void ResumptionChecker::RecordNew(const std::string& attempt, bool began, const std::string& reason)
{
  ++m_new.total;
  m_new.succeeded += began ? 1 : 0;
  if (!began)
    m_failures.push_back({attempt, "new: " + reason});
}

void ResumptionChecker::RecordTakenUp(const std::string& attempt, bool went_on,
                                      const std::string& reason)
{
  ++m_taken_up.total;
  m_taken_up.succeeded += went_on ? 1 : 0;
  const bool is_at_late_vm = m_at_late_vm.contains(attempt);
  m_taken_up_at_late_vm.total += is_at_late_vm ? 1 : 0;
  m_taken_up_at_late_vm.succeeded += is_at_late_vm && went_on ? 1 : 0;
  if (!went_on)
    m_failures.push_back({attempt, (is_at_late_vm ? "late VM: " : "") + reason});
}

void ResumptionChecker::RecordMixed(const std::string& stream, const std::string& attempt)
{
  m_mixed.emplace(stream, attempt);
}

std::string ResumptionChecker::Describe(const std::string& log_directory) const
{
  const auto refusals = ReadRefusals(log_directory);
  std::map<std::string, int> reasons;
  for (const Failure& failure : m_failures)
  {
    const auto found = refusals.find(failure.attempt);
    ++reasons[failure.reason +
              (found == refusals.end() || found->second.empty() ? "" : " (" + found->second + ")")];
  }
  std::ostringstream line;
  line << "new streams: " << m_new.succeeded << " of " << m_new.total
       << " began; taken up: " << m_taken_up.succeeded << " of " << m_taken_up.total
       << " went on; ";
  if (m_taken_up_at_late_vm.total > 0)
    line << "of these at the late VM: " << m_taken_up_at_late_vm.succeeded << " of "
         << m_taken_up_at_late_vm.total << "; ";
  line << "mixed: " << m_mixed.size() << "; why not:";
  for (const auto& [reason, count] : reasons)
    line << " " << count << " " << reason << ",";
  for (const auto& [stream, attempt] : m_mixed)
    line << " " << stream << " is mixed by " << attempt << ",";
  return line.str();
}

bool ResumptionChecker::HasEnough() const
{
  const std::int64_t at_late_vm =
      m_at_late_vm.empty() ? LEAST_STREAMS : m_taken_up_at_late_vm.total;
  return std::min({m_new.total, m_taken_up.total, at_late_vm}) >= LEAST_STREAMS;
}

std::vector<std::string> ResumptionChecker::Violations(double least_share) const
{
  std::vector<std::string> violations;
  if (!m_mixed.empty())
    violations.push_back(std::to_string(m_mixed.size()) + " streams hold events of two versions");
  if (HasEnough() && m_taken_up.Ratio() < least_share * m_new.Ratio())
    violations.push_back(std::to_string(m_taken_up.succeeded) + " of " +
                         std::to_string(m_taken_up.total) + " streams taken up went on, " +
                         std::to_string(m_new.succeeded) + " of " + std::to_string(m_new.total) +
                         " new ones began");
  return violations;
}
} // namespace ResumedStreams
