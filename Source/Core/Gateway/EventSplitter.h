// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway
{
/// Cuts the body of an event stream into whole events. Only whole events go to the caller, so that
/// a stream that breaks inside an event can be continued behind the last whole one.
class EventSplitter
{
public:
  /// Takes bytes and gives those that make up whole events, from which events that the caller
  /// already has (ids up to the last one) are left out.
  std::string Feed(std::string_view bytes);
  /// Forgets the bytes of an event that was cut off; the stream goes on from another server.
  void DropPartial() { m_partial.clear(); }
  /// Bytes behind the last whole event.
  const std::string& Partial() const { return m_partial; }
  /// The id of the last whole event; empty before the first.
  const std::optional<std::int64_t>& LastId() const { return m_last_id; }
  /// Events up to this id are with the caller already.
  void StartAfter(std::int64_t id) { m_last_id = id; }

private:
  std::string m_partial;
  std::optional<std::int64_t> m_last_id;
};
} // namespace Gateway
