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
      m_members.Assign(snapshot.daemons);
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
    NotifyChange();
  }
  if (!IsComplete())
    RequestSnapshot(now);
}

void MemberExchange::RequestSnapshot(TimePoint now)
{
  if (now - m_requested_at < REQUEST_INTERVAL)
    return;
  m_requested_at = now;
  const auto members = m_members.All();
  MemberMessage message;
  message.requests_snapshot = true;
  // The holder has the newest list, but not the bandwidth to send it to all daemons that start
  // together. A daemon that receives an outdated list learns so from the holder's next update.
  const auto pick = Common::SharedRandom()() % (members.size() + 1);
  const bool asks_holder = pick == members.size() || members[pick].messages == m_self;
  if (asks_holder && !m_holder)
    return;
  m_asked = asks_holder ? *m_holder : members[pick].messages;
  m_send(*m_asked, Daemons::Encode(message));
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

void MemberExchange::NotifyChange()
{
  if (m_on_change)
    m_on_change();
}
} // namespace Orders
