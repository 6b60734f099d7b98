// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/PermitExchange.h"

#include <algorithm>
#include <utility>

#include "Orders/MessageSize.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;

/// Delay before a request is sent, so that further ones go with it, and the minimum pause between
/// two messages.
constexpr Milliseconds ASK_DELAY{4};
constexpr Milliseconds ASK_PAUSE{20};
/// Interval at which open requests are repeated, as a message may have been lost.
constexpr Milliseconds REPEAT_AFTER{150};
/// The same for offers to probe a server, which are less urgent.
constexpr Milliseconds REPEAT_PROBES_AFTER{1000};
/// Number of sent requests that are remembered to match the holder's echo.
constexpr std::size_t ASKS_REMEMBERED = 64;
/// Maximum number of limits and of draining servers in one message: some 7 KB, twice a second.
constexpr std::size_t MAX_NEWS_LINES = 250;
/// A daemon that has sent no request for this long is forgotten.
constexpr Milliseconds PEER_SILENT_AFTER{10000};
} // namespace

PermitExchange::PermitExchange(Settings settings, Gateway::Dispatcher& dispatcher, Sender send)
    : m_settings(std::move(settings)), m_dispatcher(dispatcher), m_send(std::move(send))
{
}

void PermitExchange::SetHolder(std::optional<Http::Endpoint> holder,
                               std::optional<std::int64_t> own_tenure)
{
  m_holder = holder;
  m_own_tenure = own_tenure;
  m_peers.clear();
  m_keeper.Begin();
  m_limits_revision = 0;
  RateLimits::LimitRegistry& limits = m_dispatcher.Limited().Book();
  Gateway::DrainRegistry& draining = m_dispatcher.Draining();
  if (own_tenure)
  {
    limits.BeginTenure(*own_tenure);
    draining.BeginTenure(*own_tenure);
  }
  else
  {
    limits.EndTenure();
    draining.EndTenure();
  }
  AskSoon();
}

void PermitExchange::AskSoon()
{
  if (m_ask_timer.Running())
    return;
  const auto last = m_sent.empty() ? Common::TimePoint() : m_sent.back().at;
  const auto pause = std::chrono::ceil<Milliseconds>(last + ASK_PAUSE - Common::Now());
  m_ask_timer.Start(std::max(ASK_DELAY, pause), [this] {
    AskNow();
  });
}

PermitAsk PermitExchange::MakeAsk()
{
  PermitAsk ask;
  ask.vm = m_settings.self;
  ask.run = m_settings.run;
  ask.data_centre = m_dispatcher.Settings().data_centre;
  ask.tenure = m_tenure;
  ask.wants = m_dispatcher.PermitDemands();
  for (const auto& observation : m_dispatcher.Limited().Book().Unconfirmed(Common::Now()))
    if (m_dispatcher.Servers().FindByKey(observation.server))
      ask.observations.push_back(observation);
  ask.draining = m_dispatcher.Draining().Unconfirmed();
  FitDatagram(ask);
  return ask;
}

void PermitExchange::AskNow()
{
  if (!m_holder && !m_own_tenure)
    return;
  PermitAsk ask = MakeAsk();
  const bool is_empty = ask.wants.empty() && ask.observations.empty() && ask.draining.empty();
  const bool was_empty = std::exchange(m_last_ask_was_empty, is_empty);
  if (is_empty && was_empty)
    return;
  const auto now = Common::Now();
  ask.sequence = ++m_sequence;
  m_sent.push_back({ask.sequence, now});
  if (m_sent.size() > ASKS_REMEMBERED)
    m_sent.pop_front();
  if (!is_empty)
  {
    const bool is_urgent = !ask.observations.empty() || !ask.draining.empty() ||
                           std::ranges::any_of(ask.wants, [](const auto& want) {
                             return want.count > 0;
                           });
    m_repeat_timer.Start(is_urgent ? REPEAT_AFTER : REPEAT_PROBES_AFTER, [this] {
      AskSoon();
    });
  }
  if (m_own_tenure)
  {
    TakeAsk(ask, {});
    return;
  }
  Envelope envelope;
  envelope.permit_asks.push_back(std::move(ask));
  m_send(*m_holder, envelope);
}

void PermitExchange::TakeAsk(const PermitAsk& ask, const Http::Endpoint& from)
{
  if (!m_own_tenure)
    return;
  const auto now = Common::Now();
  Peer& peer = m_peers[ask.vm];
  // A duplicate datagram, or one that was overtaken by a later one.
  if (peer.run == ask.run && ask.sequence <= peer.sequence)
    return;
  peer = {from, ask.run, ask.sequence, now};
  m_dispatcher.Limited().ApplyObservations(ask.tenure, ask.vm, ask.observations);
  m_dispatcher.ApplyDrainReport(ask.vm, ask.draining);
  TellKeeper(now);
  m_keeper.UpdateDemand({ask.vm, ask.data_centre}, ask.wants, now);
  HandOut();
  TellPlace(ask);
}

void PermitExchange::TellKeeper(Common::TimePoint now)
{
  const std::uint64_t revision = m_dispatcher.Limited().Revision();
  if (std::exchange(m_limits_revision, revision) != revision)
    m_keeper.SetLimits(m_dispatcher.Limited().KnownLimits(), now);
}

void PermitExchange::TellPlace(const PermitAsk& ask)
{
  const auto now = Common::Now();
  std::vector<RateLimits::PositionLine> places;
  for (const RateLimits::PermitDemand& want : ask.wants)
    if (want.count > 0)
      places.push_back(
          {want.server, m_keeper.RequestsAhead(ask.vm, want.server, now),
           static_cast<std::uint32_t>(m_keeper.TimeToNextPermit(want.server, now).count())});
  if (places.empty())
    return;
  PermitReply reply = ReplyTo(ask.vm, m_peers.at(ask.vm));
  reply.places = std::move(places);
  Deliver(ask.vm, reply);
}

void PermitExchange::Deliver(const Common::VmId& vm, const PermitReply& reply)
{
  if (vm == m_settings.self)
  {
    TakeReply(reply);
    return;
  }
  Envelope envelope;
  envelope.permit_replies.push_back(reply);
  m_send(m_peers.at(vm).endpoint, envelope);
}

PermitReply PermitExchange::ReplyTo(const Common::VmId& vm, const Peer& peer)
{
  PermitReply reply;
  reply.run = peer.run;
  reply.tenure = *m_own_tenure;
  reply.number = ++m_reply_number;
  reply.sequence = peer.sequence;
  reply.held_ms = std::chrono::floor<Milliseconds>(Common::Now() - peer.heard_at).count();
  reply.standbys = m_keeper.StandbysOf(vm);
  return reply;
}

void PermitExchange::HandOut()
{
  const auto now = Common::Now();
  if (!m_own_tenure || !m_may_grant || !m_may_grant())
    return;
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.heard_at > PEER_SILENT_AFTER;
  });
  std::map<Common::VmId, PermitReply> replies;
  for (const RateLimits::Grant& grant : m_keeper.GrantPermits(now))
  {
    const auto peer = m_peers.find(grant.vm);
    if (peer == m_peers.end())
      continue;
    const auto [reply, is_new] = replies.try_emplace(grant.vm);
    if (is_new)
      reply->second = ReplyTo(grant.vm, peer->second);
    reply->second.permits.push_back({grant.server, grant.count});
  }
  for (const auto& [vm, reply] : replies)
    Deliver(vm, reply);
  if (const auto next = m_keeper.NextGrantAt(now))
    m_hand_out_timer.Start(std::max(std::chrono::ceil<Milliseconds>(*next - now), Milliseconds(1)),
                           [this] {
                             HandOut();
                           });
}

std::vector<RateLimits::ServerKey> PermitExchange::DrainNews(Common::TimePoint now)
{
  return m_dispatcher.Draining().NextUpdate(MAX_NEWS_LINES, now);
}

RateLimits::LimitUpdate PermitExchange::News(Common::TimePoint now)
{
  RateLimits::LimitRegistry& book = m_dispatcher.Limited().Book();
  book.Retain([this](RateLimits::ServerKey server) {
    return m_dispatcher.Servers().FindByKey(server) != nullptr;
  });
  TellKeeper(now);
  auto news = book.NextUpdate(MAX_NEWS_LINES, now);
  for (RateLimits::LimitLine& line : news.lines)
  {
    line.waiting = m_keeper.Waiting(line.server, now);
    line.free_in_ms =
        static_cast<std::uint32_t>(m_keeper.TimeToNextPermit(line.server, now).count());
  }
  m_dispatcher.Limited().ApplyQueues(news, now);
  return news;
}

void PermitExchange::TakeNews(std::int64_t tenure, const RateLimits::LimitUpdate& news)
{
  if (m_own_tenure)
    return;
  if (tenure > m_tenure)
    AskSoon();
  m_tenure = std::max(m_tenure, tenure);
  m_dispatcher.Limited().ApplyUpdate(tenure, news);
}

void PermitExchange::TakeReply(const PermitReply& reply)
{
  const std::pair number(reply.tenure, reply.number);
  if (reply.run != m_settings.run || number <= m_last_reply)
    return;
  m_last_reply = number;
  m_dispatcher.Limited().Permits().SetStandbys(reply.standbys);
  // The validity counts from the time of the request, so that neither a message that waited in a
  // socket nor a suspended process extends a permit.
  const auto sent = std::ranges::find(m_sent, reply.sequence, &SentAsk::sequence);
  if (sent == m_sent.end() || reply.held_ms < 0 || reply.held_ms > PEER_SILENT_AFTER.count())
    return;
  const auto until = sent->at + Milliseconds(reply.held_ms) + RateLimits::PERMIT_VALID;
  for (const RateLimits::PermitLine& line : reply.permits)
    m_dispatcher.Limited().Permits().Add(line.server, line.count, until);
  m_dispatcher.ApplyQueuePositions(reply.places);
}
} // namespace Orders
