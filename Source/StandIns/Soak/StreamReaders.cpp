// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/StreamReaders.h"

#include <iterator>
#include <utility>

namespace Soak
{
void StreamReaders::Read(const Http::Endpoint& daemon, const Http::CompleteRequest& request,
                         const std::string& name, std::function<void(int status)> on_end)
{
  m_readers.emplace_back();
  const auto reader = std::prev(m_readers.end());
  reader->name = name;
  reader->attempt = std::make_unique<ResumedStreams::StreamAttempt>(
      daemon, request,
      ResumedStreams::StreamAttempt::Callbacks{
          [this, reader](const ResumedStreams::StreamEvent& event) {
            OnEvent(*reader, event);
          },
          [this, reader, on_end = std::move(on_end)](const ResumedStreams::AttemptEnd& end) {
            RecordEnd(*reader, end);
            m_readers.erase(reader);
            on_end(end.status);
          }});
}

void StreamReaders::OnEvent(Reader& reader, const ResumedStreams::StreamEvent& event)
{
  const std::string number = std::to_string(event.number);
  if (event.number != reader.last_event + 1 || event.version != reader.name)
    m_checker.ReportViolation("event " + number + " of " + event.version + " after event " +
                              std::to_string(reader.last_event) + " of " + reader.name);
  reader.last_event = event.number;
  reader.body += "id: " + number + "\ndata: " + event.version + "\n\n";
}

void StreamReaders::RecordEnd(const Reader& reader, const ResumedStreams::AttemptEnd& end)
{
  if (end.malformed)
    m_checker.RecordMalformedResponse(reader.name);
  else if (end.complete || InvariantChecker::IsRefusal(end.status))
    m_checker.RecordResponse(reader.name, end.status, reader.body);
  else
    m_checker.RecordResponse(reader.name, 0, "");
}
} // namespace Soak
