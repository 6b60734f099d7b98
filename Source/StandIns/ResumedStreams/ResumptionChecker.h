// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ResumedStreams
{
/// Counts the streams that began, those that were taken up and went on, and those that hold events
/// of two software versions.
class ResumptionChecker
{
public:
  struct Share
  {
    std::int64_t succeeded = 0;
    std::int64_t total = 0;
    double Ratio() const
    {
      return total == 0 ? 0 : static_cast<double>(succeeded) / static_cast<double>(total);
    }
  };

  /// A new stream began, or did not for the reason.
  void RecordNew(const std::string& attempt, bool began, const std::string& reason);
  /// A stream that was taken up went on, or did not for the reason.
  void RecordTakenUp(const std::string& attempt, bool went_on, const std::string& reason);
  /// The attempt takes a stream up that began after its VM had been put out of step.
  void NoteAtLateVm(const std::string& attempt) { m_at_late_vm.insert(attempt); }
  /// The attempts of NoteAtLateVm() that count.
  const Share& TakenUpAtLateVm() const { return m_taken_up_at_late_vm; }
  /// The attempt brought an event of another version than the first one of its stream.
  void RecordMixed(const std::string& stream, const std::string& attempt);

  /// One line with all counts. The reasons of refusals come from the logs of the daemons.
  std::string Describe(const std::string& log_directory) const;
  /// The rules that are broken: a mixed stream, or streams taken up go on less often than
  /// `least_share` of the share of new ones that begin; or the counts are too small to show it.
  std::vector<std::string> Violations(double least_share) const;
  /// True if there are enough streams of both types to compare them.
  bool HasEnough() const;

private:
  struct Failure
  {
    std::string attempt;
    std::string reason;
  };

  Share m_new;
  Share m_taken_up;
  Share m_taken_up_at_late_vm;
  std::set<std::string> m_at_late_vm; ///< Attempts.
  std::vector<Failure> m_failures;
  std::map<std::string, std::string> m_mixed; ///< First such attempt, by stream.
};
} // namespace ResumedStreams
