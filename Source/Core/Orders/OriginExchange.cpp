// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OriginExchange.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <span>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"

namespace Orders
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::StreamKey;
using Gateway::StreamOrigin;
using Gateway::StreamOrigins;

OriginExchange::OriginExchange(Settings settings, Gateway::Dispatcher& dispatcher,
                               const MemberExchange& members, Sender send)
    : m_settings(settings), m_dispatcher(dispatcher), m_members(members), m_send(std::move(send))
{
}

void OriginExchange::Start()
{
  m_dispatcher.SetLocalOrigin(m_settings.self, m_settings.place);
  m_dispatcher.OnOriginQuery([this](StreamKey stream, const Gateway::PoolId& pool) {
    Ask(stream, pool);
  });
  m_dispatcher.OnStreamNoted([this](StreamKey stream) {
    OnStreamNoted(stream);
  });
  Tick();
}

void OriginExchange::Tick()
{
  const auto now = Common::Now();
  m_dispatcher.Versions().Observe(now);
  constexpr std::chrono::duration<double> TICK_SECONDS = TICK;
  m_spare_copies = std::min(m_spare_copies + SPARE_COPIES_PER_SECOND * TICK_SECONDS.count(),
                            SPARE_COPIES_PER_SECOND);
  if (m_dispatcher.Versions().HasSeveralVersions(now))
    SendUncopied();
  std::erase_if(m_queries, [&](const auto& entry) {
    const bool is_over =
        now - entry.second.began_at > QUERY_TIMEOUT || !m_dispatcher.AwaitsOrigin(entry.first);
    if (is_over)
      m_streams_by_nonce.erase(entry.second.nonce);
    return is_over;
  });
  m_tick_timer.Start(TICK, [this] {
    Tick();
  });
}

void OriginExchange::OnStreamNoted(StreamKey stream)
{
  if (m_archive != nullptr)
    m_archive->NoteStream(stream);
  const bool is_necessary =
      m_is_stopping || m_dispatcher.Versions().HasSeveralVersions(Common::Now());
  if (!is_necessary && m_spare_copies < 1)
    return;
  if (!is_necessary)
    --m_spare_copies;
  SendCopies(stream);
}

void OriginExchange::SendUncopied()
{
  if (m_send_timer.Running() || m_members.Members().All().size() < 2)
    return;
  const auto streams = m_dispatcher.Origins().Uncopied(COPIES_PER_TURN);
  std::ranges::for_each(streams, [this](StreamKey stream) {
    SendCopies(stream);
  });
  if (streams.size() == COPIES_PER_TURN)
    m_send_timer.Start(TURN_PAUSE, [this] {
      SendUncopied();
    });
}

OriginCopy OriginExchange::CopyOf(StreamKey stream, const StreamOrigins::Entry& entry) const
{
  OriginCopy copy;
  copy.stream = ToBytes(stream);
  copy.version = entry.origin.version;
  copy.age_ms = std::chrono::floor<Milliseconds>(Common::Now() - entry.noted_at).count();
  copy.place = entry.origin.place;
  if (entry.origin.daemon != m_settings.self)
    copy.daemon.push_back({entry.origin.daemon.address, entry.origin.daemon.port});
  return copy;
}

void OriginExchange::SendCopies(StreamKey stream)
{
  const auto entry = m_dispatcher.Origins().Find(stream, Common::Now());
  if (!entry)
    return;
  OriginMessage message;
  message.copies.push_back(CopyOf(stream, *entry));
  const std::string bytes = Daemons::Encode(message);
  const auto receivers = DaemonsForCopies(m_members.Members().All(), GroupOf(stream),
                                          entry->origin.daemon, entry->origin.place);
  for (const Http::Endpoint& receiver : receivers)
  {
    if (receiver == m_settings.self)
      continue;
    m_send(receiver, bytes);
    ++m_counters.copies_sent;
  }
  if (!receivers.empty())
    m_dispatcher.Origins().MarkCopied(stream);
}

void OriginExchange::SetContact(bool has_contact)
{
  const auto now = Common::Now();
  if (has_contact && m_lost_contact_at)
    ResendSince(*m_lost_contact_at);
  if (has_contact)
    m_lost_contact_at.reset();
  else if (!m_lost_contact_at)
    m_lost_contact_at = now - CONTACT_LOSS_DELAY;
}

void OriginExchange::ResendSince(TimePoint moment)
{
  for (const auto& [stream, entry] :
       m_dispatcher.Origins().InRange(StreamKey{}, StreamKey(~std::uint64_t{0})))
    if (entry.noted_at >= moment && entry.origin.daemon == m_settings.self)
      m_dispatcher.Origins().MarkUncopied(stream);
  SendUncopied();
}

void OriginExchange::OnMembersChanged()
{
  if (!std::exchange(m_has_list, true))
    m_request_timer.Start(REQUEST_DELAY, [this] {
      RequestCopies();
    });
  for (auto& [stream, query] : m_queries)
    query.timer.Start(Milliseconds(0), [this, asked = query.stream] {
      if (const auto found = m_queries.find(asked); found != m_queries.end())
        SendQuery(found->second);
    });
  if (m_move_timer.Running())
    return;
  const auto spread = Milliseconds(Common::SharedRandom()() % MOVE_SPREAD_MS);
  m_move_timer.Start(MOVE_DELAY + spread, [this] {
    m_moving_to = ListForCopies();
    MoveGroups(0);
  });
}

void OriginExchange::HandOver()
{
  m_is_stopping = true;
  SendUncopied();
  if (m_placed.empty())
    return;
  m_moving_to = ListForCopies();
  MoveGroups(0);
}

std::vector<Fleet::ListedDaemon> OriginExchange::ListForCopies() const
{
  const auto members = m_members.Members().All();
  std::vector<Fleet::ListedDaemon> daemons(members.begin(), members.end());
  if (m_is_stopping)
    std::erase_if(daemons, [this](const Fleet::ListedDaemon& daemon) {
      return daemon.messages == m_settings.self;
    });
  return daemons;
}

void OriginExchange::RequestCopies()
{
  if (!m_lost_contact_at)
    return;
  OriginMessage message;
  message.started.push_back({m_settings.self, m_settings.place, m_settings.run});
  const std::string bytes = Daemons::Encode(message);
  for (const Fleet::ListedDaemon& daemon : m_members.Members().All())
    if (daemon.messages != m_settings.self)
      m_send(daemon.messages, bytes);
}

void OriginExchange::SendCopiesTo(const Fleet::ListedDaemon& started)
{
  // The list may name an earlier run of this daemon, or not name it.
  std::vector<Fleet::ListedDaemon> daemons = ListForCopies();
  std::erase_if(daemons, [&](const Fleet::ListedDaemon& daemon) {
    return daemon.messages == started.messages;
  });
  daemons.push_back(started);
  Messages messages;
  for (std::size_t group = 0; group < ORIGIN_GROUPS; ++group)
  {
    const auto [first, last] = KeysOf(OriginGroup(group));
    const auto entries = m_dispatcher.Origins().InRange(first, last);
    if (entries.empty())
      continue;
    const CopyPlacement placement(daemons, OriginGroup(group));
    for (const auto& [stream, entry] : entries)
    {
      const auto keepers = placement.DaemonsFor(entry.origin.daemon, entry.origin.place);
      if (std::ranges::find(keepers, started.messages) != keepers.end())
        messages[started.messages].copies.push_back(CopyOf(stream, entry));
    }
  }
  SendMoved(messages);
}

void OriginExchange::MoveGroups(std::size_t first_group)
{
  const std::size_t end = std::min(first_group + GROUPS_PER_TURN, ORIGIN_GROUPS);
  Messages messages;
  for (std::size_t group = first_group; group < end; ++group)
    MoveGroup(OriginGroup(group), messages);
  SendMoved(messages);
  if (end < ORIGIN_GROUPS)
  {
    m_move_timer.Start(TURN_PAUSE, [this, end] {
      MoveGroups(end);
    });
    return;
  }
  m_placed = std::move(m_moving_to);
  if (m_placed != ListForCopies())
    OnMembersChanged();
}

void OriginExchange::MoveGroup(OriginGroup group, Messages& messages)
{
  const auto [first, last] = KeysOf(group);
  const auto entries = m_dispatcher.Origins().InRange(first, last);
  if (entries.empty())
    return;
  const CopyPlacement placement_before(m_placed, group);
  const CopyPlacement placement_now(m_moving_to, group);
  for (const auto& [stream, entry] : entries)
  {
    if (!entry.copied)
      continue;
    const StreamOrigin& origin = entry.origin;
    const auto before = placement_before.DaemonsFor(origin.daemon, origin.place);
    for (const Http::Endpoint& receiver : placement_now.DaemonsFor(origin.daemon, origin.place))
      if (receiver != m_settings.self && !IsSameRun(before, receiver))
        messages[receiver].copies.push_back(CopyOf(stream, entry));
  }
}

void OriginExchange::SendMoved(const Messages& messages)
{
  for (const auto& [receiver, message] : messages)
  {
    std::span<const OriginCopy> rest(message.copies);
    while (!rest.empty())
    {
      const auto part = rest.first(std::min(rest.size(), COPIES_PER_DATAGRAM));
      OriginMessage datagram;
      datagram.copies.assign(part.begin(), part.end());
      m_send(receiver, Daemons::Encode(datagram));
      rest = rest.subspan(part.size());
    }
    m_counters.copies_moved += static_cast<std::int64_t>(message.copies.size());
  }
}

bool OriginExchange::IsSameRun(const std::vector<Http::Endpoint>& before,
                               const Http::Endpoint& receiver) const
{
  const auto run_in = [&](const std::vector<Fleet::ListedDaemon>& daemons) {
    const auto found =
        std::ranges::lower_bound(daemons, receiver, {}, &Fleet::ListedDaemon::messages);
    return found == daemons.end() ? 0 : found->run;
  };
  return std::ranges::find(before, receiver) != before.end() &&
         run_in(m_placed) == run_in(m_moving_to);
}

void OriginExchange::Ask(StreamKey stream, const Gateway::PoolId& pool)
{
  if (m_queries.contains(stream) || m_queries.size() >= MAX_QUERIES)
    return;
  Query& query = m_queries[stream];
  query.stream = stream;
  query.pool = pool;
  query.began_at = Common::Now();
  query.evidence.asked_at = query.began_at;
  query.nonce = Common::SharedRandom()();
  m_streams_by_nonce[query.nonce] = stream;
  ++m_counters.queries;
  SendQuery(query);
  RestoreFromArchive(stream);
}

bool OriginExchange::RestoreFromArchive(StreamKey stream)
{
  const OriginShard shard = ShardOf(stream);
  if (m_archive == nullptr || !m_archive->MustRestore(shard, Common::Now()))
    return false;
  // A daemon that has no list of the others may be the only one.
  const auto daemons = m_members.Members().All();
  const auto readers = DaemonsToAsk(daemons, FirstGroupOf(shard), {});
  if (!daemons.empty() && std::ranges::find(readers, m_settings.self) == readers.end())
    return false;
  if (!m_archive->IsReading(shard))
    m_archive->Restore(shard, [this, shard] {
      OnRestored(shard);
    });
  return true;
}

void OriginExchange::OnRestored(OriginShard shard)
{
  std::vector<StreamKey> streams;
  for (const auto& [stream, query] : m_queries)
    if (ShardOf(stream) == shard)
      streams.push_back(stream);
  for (const StreamKey stream : streams)
  {
    const auto found = m_queries.find(stream);
    if (found == m_queries.end())
      continue;
    const auto entry = m_dispatcher.Origins().Find(stream, Common::Now());
    if (!entry)
    {
      ReportNoOrigin(stream);
      continue;
    }
    const Gateway::OriginEvidence known = found->second.evidence;
    m_streams_by_nonce.erase(found->second.nonce);
    m_queries.erase(found);
    m_dispatcher.LearnOrigin(stream, *entry, known);
  }
}

void OriginExchange::ChooseDaemons(Query& query)
{
  auto daemons = DaemonsToAsk(m_members.Members().All(), GroupOf(query.stream), m_settings.self);
  if (m_archive != nullptr)
    std::ranges::copy(DaemonsToAsk(m_members.Members().All(), FirstGroupOf(ShardOf(query.stream)),
                                   m_settings.self),
                      std::back_inserter(daemons));
  if (daemons.empty() && m_holder)
    daemons.push_back(*m_holder);
  for (const Http::Endpoint& daemon : daemons)
    if (query.asked.insert(daemon).second)
      query.unanswered.insert(daemon);
  query.evidence.asked = static_cast<int>(query.asked.size());
}

void OriginExchange::SendQuery(Query& query)
{
  // The list may have grown: a daemon that has just started does not know the others yet.
  ChooseDaemons(query);
  OriginMessage message;
  message.queries.push_back({ToBytes(query.stream), query.nonce, query.pool});
  const std::string bytes = Daemons::Encode(message);
  for (const Http::Endpoint& daemon : query.unanswered)
    m_send(daemon, bytes);
  query.timer.Start(query.resend_after, [this, stream = query.stream] {
    if (const auto found = m_queries.find(stream); found != m_queries.end())
      SendQuery(found->second);
  });
  query.resend_after = std::min(query.resend_after * 2, LAST_RESEND);
}

bool OriginExchange::OnMessage(std::string_view bytes, const Http::Endpoint& from)
{
  const auto message = Daemons::Decode<OriginMessage>(bytes);
  if (!message)
  {
    Common::LogEvent(Common::LogLevel::Warning, "datagram-malformed",
                     {{"from", from.ToString()}, {"reason", message.Reason().detail}});
    return false;
  }
  for (const OriginCopy& copy : message->copies)
    MergeCopy(copy, from);
  for (const OriginQuery& query : message->queries)
    OnQuery(query, from);
  for (const OriginReply& reply : message->replies)
    OnReply(reply, from);
  for (const Fleet::ListedDaemon& started : message->started)
    if (started.messages == from && m_members.IsKnown(from, Common::Now()))
      SendCopiesTo(started);
  return true;
}

StreamOrigin OriginExchange::OriginIn(const OriginCopy& copy, const Http::Endpoint& from)
{
  const Http::Endpoint daemon =
      copy.daemon.empty() ? from
                          : Http::Endpoint{copy.daemon.front().address, copy.daemon.front().port};
  return {copy.version, daemon, copy.place};
}

std::optional<Milliseconds> OriginExchange::AgeOf(const OriginCopy& copy)
{
  const Milliseconds retention = StreamOrigins::RETENTION;
  if (copy.age_ms < 0 || copy.age_ms >= retention.count())
    return std::nullopt;
  return Milliseconds(copy.age_ms);
}

void OriginExchange::MergeCopy(const OriginCopy& copy, const Http::Endpoint& from)
{
  if (!m_members.IsKnown(from, Common::Now()))
  {
    ++m_counters.copies_of_strangers;
    return;
  }
  const auto now = Common::Now();
  if (const auto age = AgeOf(copy))
    m_dispatcher.Origins().Merge(ToStreamKey(copy.stream), OriginIn(copy, from), now - *age, now);
}

void OriginExchange::OnQuery(const OriginQuery& query, const Http::Endpoint& from)
{
  const auto now = Common::Now();
  const StreamKey stream = ToStreamKey(query.stream);
  // The query is repeated until it has a reply.
  if (!m_dispatcher.Origins().Find(stream, now) && RestoreFromArchive(stream))
    return;
  OriginReply reply;
  reply.nonce = query.nonce;
  if (const auto entry = m_dispatcher.Origins().Find(stream, now))
    reply.origin.push_back(CopyOf(stream, *entry));
  else
  {
    for (const auto& version : m_dispatcher.Versions().Recent(query.pool, now))
      reply.versions.push_back(Gateway::KeyOf(query.pool, version));
    reply.is_current = m_dispatcher.Versions().IsCurrent(now);
    reply.has_history = m_dispatcher.Versions().IsComplete(now);
  }
  OriginMessage message;
  message.replies.push_back(std::move(reply));
  m_send(from, Daemons::Encode(message));
}

void OriginExchange::OnReply(const OriginReply& reply, const Http::Endpoint& from)
{
  const auto stream = m_streams_by_nonce.find(reply.nonce);
  const auto found =
      stream == m_streams_by_nonce.end() ? m_queries.end() : m_queries.find(stream->second);
  if (found == m_queries.end() || found->second.unanswered.erase(from) == 0)
  {
    ++m_counters.replies_not_asked_for;
    return;
  }
  Query& query = found->second;
  Gateway::OriginEvidence& evidence = query.evidence;
  ++evidence.replies;
  const auto age = reply.origin.empty() ? std::nullopt : AgeOf(reply.origin.front());
  if (age)
  {
    const OriginCopy& copy = reply.origin.front();
    const auto now = Common::Now();
    const StreamKey key = query.stream;
    const Gateway::OriginEvidence known = evidence;
    m_streams_by_nonce.erase(stream);
    m_queries.erase(found);
    m_dispatcher.Origins().Merge(key, OriginIn(copy, from), now - *age, now);
    m_dispatcher.LearnOrigin(key, {OriginIn(copy, from), now - *age, true}, known);
    return;
  }
  evidence.versions.insert(reply.versions.begin(), reply.versions.end());
  evidence.has_history = evidence.has_history || reply.has_history;
  if (query.unanswered.empty())
    ChooseDaemons(query);
  ReportNoOrigin(query.stream);
}

void OriginExchange::ReportNoOrigin(StreamKey stream)
{
  const auto found = m_queries.find(stream);
  if (found == m_queries.end())
    return;
  Query& query = found->second;
  const OriginShard shard = ShardOf(stream);
  const bool awaits_archive = m_archive != nullptr && m_archive->IsReading(shard);
  // Without the whole list, a daemon that keeps a copy may not have been asked.
  query.evidence.is_complete =
      query.unanswered.empty() && m_members.IsComplete() && !awaits_archive;
  const Gateway::OriginEvidence evidence = query.evidence;
  if (evidence.is_complete)
  {
    m_streams_by_nonce.erase(query.nonce);
    m_queries.erase(found);
  }
  m_dispatcher.LearnNoOrigin(stream, evidence);
}
} // namespace Orders
