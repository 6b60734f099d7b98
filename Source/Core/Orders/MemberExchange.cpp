// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/MemberExchange.h"

#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Daemons/Codec.h"

namespace Orders
{
using Common::TimePoint;

void MemberExchange::Announce(std::vector<Fleet::ListedDaemon> daemons, std::int64_t fence,
                              TimePoint now)
{
  MemberUpdate update;
  update.fence = fence;
  update.from = m_members.Checksum();
  Fleet::MemberList::Change change = m_members.Assign(std::move(daemons));
  update.to = m_members.Checksum();
  NoteRemoved(change.removed, now);
  const bool has_changed = update.from != update.to;
  m_announced_checksum = update.to;
  if (!has_changed && now - m_announced_at < REPEAT_INTERVAL)
    return;
  m_announced_at = now;
  update.added = std::move(change.added);
  update.removed = std::move(change.removed);
  MemberMessage message;
  message.updates.push_back(std::move(update));
  const std::string bytes = Daemons::Encode(message);
  for (const Fleet::ListedDaemon& daemon : m_members.All())
    if (daemon.messages != m_self)
      m_send(daemon.messages, bytes);
  if (has_changed)
    NotifyChange();
}

void MemberExchange::OnMessage(std::string_view bytes, const Http::Endpoint& from,
                               const std::function<bool(std::int64_t fence)>& is_from_holder)
{
  const auto message = Daemons::Decode<MemberMessage>(bytes);
  if (!message)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", message.Reason().detail}});
    return;
  }
  const auto now = Common::Now();
  for (const MemberUpdate& update : message->updates)
    if (is_from_holder(update.fence))
      ApplyUpdate(update, now);
  if (message->requests_snapshot)
    SendSnapshot(from, now);
  for (const MemberSnapshot& snapshot : message->snapshots)
    if (m_asked == from)
    {
      m_asked.reset();
      NoteRemoved(m_members.Assign(snapshot.daemons).removed, now);
      NotifyChange();
    }
}

void MemberExchange::ApplyUpdate(const MemberUpdate& update, TimePoint now)
{
  m_announced_checksum = update.to;
  if (IsComplete())
    return;
  // Without a list, some of the daemons are better than none, and the whole list can be requested
  // from them.
  if (update.from == m_members.Checksum() || m_members.All().empty())
  {
    m_members.Apply({update.added, update.removed});
    NoteRemoved(update.removed, now);
    NotifyChange();
  }
  if (!IsComplete())
    RequestSnapshot(now);
}

void MemberExchange::SetHolder(std::optional<Http::Endpoint> holder)
{
  m_holder = holder;
  if (holder)
    OnContact(*holder);
}

void MemberExchange::OnContact(const Http::Endpoint& from)
{
  if (m_members.All().empty() && from != m_self)
    RequestSnapshotFrom(from, Common::Now());
}

void MemberExchange::RequestSnapshot(TimePoint now)
{
  const auto members = m_members.All();
  // The holder has the newest list, but not the bandwidth to send it to all daemons that start
  // together. A daemon that receives an outdated list learns so from the holder's next update.
  const auto pick = Common::SharedRandom()() % (members.size() + 1);
  const bool asks_holder = pick == members.size() || members[pick].messages == m_self;
  if (!asks_holder)
    RequestSnapshotFrom(members[pick].messages, now);
  else if (m_holder)
    RequestSnapshotFrom(*m_holder, now);
}

void MemberExchange::RequestSnapshotFrom(const Http::Endpoint& daemon, TimePoint now)
{
  if (now - m_requested_at < REQUEST_INTERVAL)
    return;
  m_requested_at = now;
  m_asked = daemon;
  MemberMessage message;
  message.requests_snapshot = true;
  m_send(daemon, Daemons::Encode(message));
}

void MemberExchange::SendSnapshot(const Http::Endpoint& to, TimePoint now)
{
  if (now - m_replies_since >= REPLY_INTERVAL)
  {
    m_replies_since = now;
    m_replies = 0;
  }
  if (m_members.All().empty() || m_replies++ >= REPLIES_PER_INTERVAL)
    return;
  MemberMessage message;
  message.snapshots.push_back({{m_members.All().begin(), m_members.All().end()}});
  m_send(to, Daemons::Encode(message));
}

bool MemberExchange::IsKnown(const Http::Endpoint& daemon, TimePoint now) const
{
  if (!IsComplete() || m_members.Contains(daemon))
    return true;
  const auto removed = m_removed_at.find(daemon);
  return removed != m_removed_at.end() && now - removed->second < REMOVED_RETENTION;
}

void MemberExchange::Tick(TimePoint now)
{
  if (!IsComplete() && (m_holder || !m_members.All().empty()) && m_announced_checksum != 0)
    RequestSnapshot(now);
  else if (m_members.All().empty() && m_holder)
    RequestSnapshotFrom(*m_holder, now);
}

void MemberExchange::NoteRemoved(const std::vector<Fleet::ListedDaemon>& removed, TimePoint now)
{
  std::erase_if(m_removed_at, [now](const auto& entry) {
    return now - entry.second >= REMOVED_RETENTION;
  });
  for (const Fleet::ListedDaemon& daemon : removed)
    m_removed_at[daemon.messages] = now;
}

void MemberExchange::NotifyChange()
{
  if (m_on_change)
    m_on_change();
}
} // namespace Orders
