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
constexpr Milliseconds REQUEST_DELAY{4};
constexpr Milliseconds MIN_REQUEST_INTERVAL{20};
/// Interval at which open requests are sent again, as a message may have been lost.
constexpr Milliseconds RESEND_AFTER{150};
/// The same for offers to probe a server, which are less urgent.
constexpr Milliseconds RESEND_PROBE_OFFERS_AFTER{1000};
/// Number of sent requests that are remembered to match the holder's echo.
constexpr std::size_t MAX_SENT_REQUESTS = 64;
/// Maximum number of limits and of draining servers in one message: some 7 KB, twice a second.
constexpr std::size_t MAX_UPDATE_LINES = 250;
/// The state of a daemon that has sent no request for this long is dropped.
constexpr Milliseconds PEER_TIMEOUT{10000};
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
  m_allocator.Begin();
  m_limits_revision = 0;
  RateLimits::LimitRegistry& limits = m_dispatcher.Limited().Registry();
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
  SchedulePermitRequest();
}

void PermitExchange::SchedulePermitRequest()
{
  if (m_request_timer.Running())
    return;
  const auto last = m_sent.empty() ? Common::TimePoint() : m_sent.back().at;
  const auto pause = std::chrono::ceil<Milliseconds>(last + MIN_REQUEST_INTERVAL - Common::Now());
  m_request_timer.Start(std::max(REQUEST_DELAY, pause), [this] {
    SendPermitRequest();
  });
}

PermitRequest PermitExchange::MakePermitRequest()
{
  PermitRequest request;
  request.vm = m_settings.self;
  request.run = m_settings.run;
  request.data_centre = m_dispatcher.Settings().data_centre;
  request.tenure = m_tenure;
  request.demands = m_dispatcher.PermitDemands();
  for (const auto& observation : m_dispatcher.Limited().Registry().Unconfirmed(Common::Now()))
    if (m_dispatcher.Servers().FindByKey(observation.server))
      request.observations.push_back(observation);
  request.draining = m_dispatcher.Draining().Unconfirmed();
  TruncateToDatagram(request);
  return request;
}

void PermitExchange::SendPermitRequest()
{
  if (!m_holder && !m_own_tenure)
    return;
  PermitRequest request = MakePermitRequest();
  const bool is_empty =
      request.demands.empty() && request.observations.empty() && request.draining.empty();
  const bool was_empty = std::exchange(m_last_request_was_empty, is_empty);
  if (is_empty && was_empty)
    return;
  const auto now = Common::Now();
  request.sequence = ++m_sequence;
  m_sent.push_back({request.sequence, now});
  if (m_sent.size() > MAX_SENT_REQUESTS)
    m_sent.pop_front();
  if (!is_empty)
  {
    const bool is_urgent = !request.observations.empty() || !request.draining.empty() ||
                           std::ranges::any_of(request.demands, [](const auto& demand) {
                             return demand.count > 0;
                           });
    m_resend_timer.Start(is_urgent ? RESEND_AFTER : RESEND_PROBE_OFFERS_AFTER, [this] {
      SchedulePermitRequest();
    });
  }
  if (m_own_tenure)
  {
    OnPermitRequest(request, {});
    return;
  }
  Envelope envelope;
  envelope.permit_requests.push_back(std::move(request));
  m_send(*m_holder, envelope);
}

void PermitExchange::OnPermitRequest(const PermitRequest& request, const Http::Endpoint& from)
{
  if (!m_own_tenure)
    return;
  const auto now = Common::Now();
  Peer& peer = m_peers[request.vm];
  // A duplicate datagram, or one that was overtaken by a later one.
  if (peer.run == request.run && request.sequence <= peer.sequence)
    return;
  peer = {from, request.run, request.sequence, now};
  m_dispatcher.Limited().ApplyObservations(request.tenure, request.vm, request.observations);
  m_dispatcher.ApplyDrainReport(request.vm, request.draining);
  UpdateAllocatorLimits(now);
  m_allocator.UpdateDemand({request.vm, request.data_centre}, request.demands, now);
  GrantPermits();
  SendQueuePositions(request);
}

void PermitExchange::UpdateAllocatorLimits(Common::TimePoint now)
{
  const std::uint64_t revision = m_dispatcher.Limited().Revision();
  if (std::exchange(m_limits_revision, revision) != revision)
    m_allocator.SetLimits(m_dispatcher.Limited().KnownLimits(), now);
}

void PermitExchange::SendQueuePositions(const PermitRequest& request)
{
  const auto now = Common::Now();
  std::vector<RateLimits::PositionLine> positions;
  for (const RateLimits::PermitDemand& demand : request.demands)
    if (demand.count > 0)
      positions.push_back(
          {demand.server, m_allocator.RequestsAhead(request.vm, demand.server, now),
           static_cast<std::uint32_t>(m_allocator.TimeToNextPermit(demand.server, now).count())});
  if (positions.empty())
    return;
  PermitReply reply = ReplyTo(request.vm, m_peers.at(request.vm));
  reply.positions = std::move(positions);
  Deliver(request.vm, reply);
}

void PermitExchange::Deliver(const Common::VmId& vm, const PermitReply& reply)
{
  if (vm == m_settings.self)
  {
    OnReply(reply);
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
  reply.held_ms = std::chrono::floor<Milliseconds>(Common::Now() - peer.last_request_at).count();
  reply.standbys = m_allocator.StandbysOf(vm);
  return reply;
}

void PermitExchange::GrantPermits()
{
  const auto now = Common::Now();
  if (!m_own_tenure || !m_may_grant || !m_may_grant())
    return;
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.last_request_at > PEER_TIMEOUT;
  });
  std::map<Common::VmId, PermitReply> replies;
  for (const RateLimits::Grant& grant : m_allocator.GrantPermits(now))
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
  if (const auto next = m_allocator.NextGrantAt(now))
    m_grant_timer.Start(std::max(std::chrono::ceil<Milliseconds>(*next - now), Milliseconds(1)),
                        [this] {
                          GrantPermits();
                        });
}

std::vector<RateLimits::ServerKey> PermitExchange::NextDrainingServers(Common::TimePoint now)
{
  return m_dispatcher.Draining().NextUpdate(MAX_UPDATE_LINES, now);
}

RateLimits::LimitUpdate PermitExchange::MakeLimitUpdate(Common::TimePoint now)
{
  RateLimits::LimitRegistry& book = m_dispatcher.Limited().Registry();
  book.Retain([this](RateLimits::ServerKey server) {
    return m_dispatcher.Servers().FindByKey(server) != nullptr;
  });
  UpdateAllocatorLimits(now);
  auto update = book.NextUpdate(MAX_UPDATE_LINES, now);
  for (RateLimits::LimitLine& line : update.lines)
  {
    line.waiting = m_allocator.Waiting(line.server, now);
    line.free_in_ms =
        static_cast<std::uint32_t>(m_allocator.TimeToNextPermit(line.server, now).count());
  }
  m_dispatcher.Limited().ApplyQueues(update, now);
  return update;
}

void PermitExchange::ApplyLimitUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update)
{
  if (m_own_tenure)
    return;
  if (tenure > m_tenure)
    SchedulePermitRequest();
  m_tenure = std::max(m_tenure, tenure);
  m_dispatcher.Limited().ApplyUpdate(tenure, update);
}

void PermitExchange::OnReply(const PermitReply& reply)
{
  const std::pair number(reply.tenure, reply.number);
  if (reply.run != m_settings.run || number <= m_last_reply)
    return;
  m_last_reply = number;
  m_dispatcher.Limited().Permits().SetStandbys(reply.standbys);
  // The validity counts from the time of the request, so that neither a message that waited in a
  // socket nor a suspended process extends a permit.
  const auto sent = std::ranges::find(m_sent, reply.sequence, &SentRequest::sequence);
  if (sent == m_sent.end() || reply.held_ms < 0 || reply.held_ms > PEER_TIMEOUT.count())
    return;
  const auto until = sent->at + Milliseconds(reply.held_ms) + RateLimits::PERMIT_VALID;
  for (const RateLimits::PermitLine& line : reply.permits)
    m_dispatcher.Limited().Permits().Add(line.server, line.count, until);
  m_dispatcher.ApplyQueuePositions(reply.positions);
}
} // namespace Orders
