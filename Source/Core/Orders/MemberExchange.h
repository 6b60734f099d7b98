// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Units.h"
#include "Fleet/MemberList.h"
#include "Orders/OriginMessages.h"

namespace Orders
{
/// Keeps the list of daemons at every daemon. The holder of the order lease sends each change to
/// all; a daemon that missed one requests the whole list from a random daemon. A new holder begins
/// with the list that it has, so a change of the holder alone sends nothing.
class MemberExchange
{
public:
  using Sender = std::function<void(const Http::Endpoint&, const std::string&)>;

  MemberExchange(Http::Endpoint self, Sender send) : m_self(self), m_send(std::move(send)) {}

  const Fleet::MemberList& Members() const { return m_members; }
  /// False if the list differs from the holder's, so that daemons may be missing.
  bool IsComplete() const
  {
    return !m_members.All().empty() && m_members.Checksum() == m_announced_checksum;
  }
  /// True if the address is that of a daemon that has been in the list lately: one that was
  /// suspended is removed, and goes on. Also true while daemons may be missing.
  bool IsKnown(const Http::Endpoint& daemon, Common::TimePoint now) const;
  /// Called several times a second: requests the whole list if it is known to be outdated.
  void Tick(Common::TimePoint now);
  /// Called when the list has changed.
  void OnChange(std::function<void()> callback) { m_on_change = std::move(callback); }
  /// Sets the holder's address for messages; nothing if no other daemon is known to be the holder.
  void SetHolder(std::optional<Http::Endpoint> holder);
  /// Called for each message of another daemon. A daemon that has just started requests the list
  /// from it, as there may be no holder that would send one.
  void OnContact(const Http::Endpoint& from);

  /// At the holder, at regular intervals: sets the list and sends the change to all daemons. Also
  /// without a change it is sent now and then, so that a daemon that missed one learns of it.
  void Announce(std::vector<Fleet::ListedDaemon> daemons, std::int64_t fence,
                Common::TimePoint now);
  /// Handles a message. `is_from_holder(fence)`: no later holder than that of `fence` is known.
  void OnMessage(std::string_view bytes, const Http::Endpoint& from,
                 const std::function<bool(std::int64_t fence)>& is_from_holder);

private:
  /// How often the holder sends the list's checksum without a change.
  static constexpr Common::Milliseconds REPEAT_INTERVAL{2000};
  /// How long a removed daemon counts as known.
  static constexpr std::chrono::seconds REMOVED_RETENTION{90};
  /// Minimum interval between two requests for the whole list.
  static constexpr Common::Milliseconds REQUEST_INTERVAL{300};
  /// The holder answers so many requests in this interval; a daemon without a reply asks another
  /// one. The list of a thousand daemons has some 15 KB.
  static constexpr Common::Milliseconds REPLY_INTERVAL{250};
  static constexpr int REPLIES_PER_INTERVAL = 4;

  void ApplyUpdate(const MemberUpdate& update, Common::TimePoint now);
  void RequestSnapshot(Common::TimePoint now);
  void RequestSnapshotFrom(const Http::Endpoint& daemon, Common::TimePoint now);
  void SendSnapshot(const Http::Endpoint& to, Common::TimePoint now);
  void NoteRemoved(const std::vector<Fleet::ListedDaemon>& removed, Common::TimePoint now);
  void NotifyChange();

  Http::Endpoint m_self;
  Sender m_send;
  Fleet::MemberList m_members;
  std::uint64_t m_announced_checksum = 0;                   ///< Of the holder's list.
  std::map<Http::Endpoint, Common::TimePoint> m_removed_at; ///< Of daemons removed lately.
  std::function<void()> m_on_change;
  std::optional<Http::Endpoint> m_holder;
  Common::TimePoint m_announced_at;
  Common::TimePoint m_requested_at;
  std::optional<Http::Endpoint> m_asked; ///< For the whole list, without a reply so far.
  Common::TimePoint m_replies_since;
  int m_replies = 0; ///< Since `m_replies_since`.
};
} // namespace Orders
