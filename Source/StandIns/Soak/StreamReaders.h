// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "StandIns/ResumedStreams/StreamAttempt.h"
#include "StandIns/Soak/InvariantChecker.h"

namespace Soak
{
/// Callers that check each event of a stream when it arrives, also of streams that are broken off.
class StreamReaders
{
public:
  explicit StreamReaders(InvariantChecker& checker) : m_checker(checker) {}

  /// Sends a request for a stream whose events must name `name`, and records its outcome.
  /// `on_end` gets the status, 0 without a response head.
  void Read(const Http::Endpoint& daemon, const Http::CompleteRequest& request,
            const std::string& name, std::function<void(int status)> on_end);

private:
  struct Reader
  {
    std::string name;
    std::string body; ///< All events so far.
    int last_event = 0;
    std::unique_ptr<ResumedStreams::StreamAttempt> attempt;
  };

  void OnEvent(Reader& reader, const ResumedStreams::StreamEvent& event);
  void RecordEnd(const Reader& reader, const ResumedStreams::AttemptEnd& end);

  InvariantChecker& m_checker;
  std::list<Reader> m_readers;
};
} // namespace Soak
