// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "Common/Units.h"

namespace Gateway
{
/// The source from which this VM knows that a server is draining.
enum class DrainSource : std::uint8_t
{
  None,
  OtherVm,  ///< A response to another VM.
  Response, ///< A response to this VM.
  Entry,    ///< The server's registration on the platform.
};
std::string_view ToString(DrainSource source);

/// Draining state of one instance of a server. An announcement in its entry or in a response to
/// this VM is final: a draining server does not return to service in the same instance, whatever an
/// entry states later, which may come from an older copy. A report from another VM is overridden by
/// a later response to this VM without the announcement, so that a false announcement removes the
/// server from one VM only.
class DrainState
{
public:
  /// Applies the state in the server's entry; called for each update of the entry.
  void SetEntry(bool draining) { m_draining_in_entry = m_draining_in_entry || draining; }
  /// Records a response to this VM that announces draining. Returns true for the first one.
  bool NoteAnnounced(Common::TimePoint now);
  /// Records a response without the announcement to a request that this VM sent at `sent_at`.
  void NoteNotAnnounced(Common::TimePoint sent_at);
  /// Takes over the announcement of the previous instance under the same id. It may already have
  /// come from this instance, before its entry was received. If this instance announces
  /// draining as well, the time of the earlier announcement applies.
  void Inherit(const DrainState& before) { m_announced_before = before.m_announced_at; }
  /// Records a report that the server announced draining to another VM.
  void NoteReported(Common::TimePoint now);

  bool IsDraining() const { return Source() != DrainSource::None; }
  /// The strictest source that reports draining.
  DrainSource Source() const;
  /// When this VM first learned of it from a response or from another VM.
  std::optional<Common::TimePoint> Since() const;
  /// True if the server may still receive requests that no other server can take. This ends `grace`
  /// after the first announcement in a response to this VM.
  bool MayServe(Common::TimePoint now, Common::Milliseconds grace) const;

private:
  bool m_draining_in_entry = false;
  std::optional<Common::TimePoint> m_announced_at;
  std::optional<Common::TimePoint> m_announced_before; ///< By the previous instance.
  std::optional<Common::TimePoint> m_reported_at;
  /// A response to this VM, to a request sent after the report, did not announce draining.
  bool m_contradicted = false;
};
} // namespace Gateway
