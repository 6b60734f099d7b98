// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway
{
/// Splits the body of an event stream into complete events. Only complete events are forwarded, so
/// that a stream that breaks inside an event can be resumed after the last complete one.
class EventSplitter
{
public:
  /// Appends bytes and returns the events that are now complete, without those that the caller has
  /// already received (ids up to LastId()).
  std::string Feed(std::string_view bytes);
  /// Discards the bytes of an incomplete event before the stream is resumed at another server.
  void DropPartial() { m_partial.clear(); }
  /// Bytes after the last complete event.
  const std::string& Partial() const { return m_partial; }
  /// True if bytes of an incomplete event have been received; line ends between events do not
  /// count.
  bool IsInsideEvent() const { return m_partial.find_first_not_of("\r\n") != std::string::npos; }
  /// The id of the last complete event that had one; empty before the first.
  const std::optional<std::int64_t>& LastId() const { return m_last_id; }
  /// Skips events up to this id, which the caller already has.
  void StartAfter(std::int64_t id) { m_last_id = id; }

private:
  std::string m_partial;
  std::optional<std::int64_t> m_last_id;
};
} // namespace Gateway
