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
/// Time between two reports of places that the holder handles.
constexpr std::chrono::microseconds REPORT_COST{300};
/// Interval at which open requests are sent again, as a message may have been lost.
constexpr Milliseconds RESEND_AFTER{150};
/// The same for offers to probe a server, which are less urgent.
constexpr Milliseconds RESEND_PROBE_OFFERS_AFTER{1000};
/// The same for reports of places without demand, of which several may be lost.
constexpr Milliseconds RESEND_HELD_PLACES_AFTER{400};
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
  m_places.Begin(Common::Now());
  m_brittle_revision = 0;
  RateLimits::LimitRegistry& limits = m_dispatcher.Limited().Registry();
  RateLimits::LimitRegistry& rejection_bounds = m_dispatcher.Brittle().Registry();
  Gateway::DrainRegistry& draining = m_dispatcher.Draining();
  if (own_tenure)
  {
    limits.BeginTenure(*own_tenure);
    rejection_bounds.BeginTenure(*own_tenure);
    draining.BeginTenure(*own_tenure);
  }
  else
  {
    limits.EndTenure();
    rejection_bounds.EndTenure();
    draining.EndTenure();
  }
  SchedulePermitRequest();
}

void PermitExchange::SchedulePermitRequest()
{
  if (m_request_timer.Running())
    return;
  const auto last = m_sent.empty() ? Common::TimePoint() : m_sent.back().at;
  const auto pause = std::chrono::ceil<Milliseconds>(last + RequestInterval() - Common::Now());
  m_request_timer.Start(std::max(REQUEST_DELAY, pause), [this] {
    SendPermitRequest();
  });
}

Milliseconds PermitExchange::RequestInterval() const
{
  if (m_dispatcher.Brittle().All().empty())
    return MIN_REQUEST_INTERVAL;
  // All daemons report places whenever requests end, so that the holder's load is bounded here.
  const auto for_all = std::chrono::ceil<Milliseconds>(REPORT_COST * m_dispatcher.Daemons());
  return std::clamp(for_all, MIN_REQUEST_INTERVAL, RESEND_AFTER);
}

PermitRequest PermitExchange::MakePermitRequest()
{
  PermitRequest request;
  request.vm = m_settings.self;
  request.run = m_settings.run;
  request.data_centre = m_dispatcher.Settings().data_centre;
  request.tenure = m_tenure;
  request.demands = m_dispatcher.PermitDemands();
  request.places = m_dispatcher.MakePlaceReport();
  request.places.applied_tenure = m_last_reply.first;
  request.places.applied_number = m_last_reply.second;
  const auto unconfirmed = [this](const RateLimits::LimitRegistry& registry) {
    auto observations = registry.Unconfirmed(Common::Now());
    std::erase_if(observations, [this](const RateLimits::LimitObservation& observation) {
      return !m_dispatcher.Servers().FindByKey(observation.server);
    });
    return observations;
  };
  request.observations = unconfirmed(m_dispatcher.Limited().Registry());
  request.rejection_bounds = unconfirmed(m_dispatcher.Brittle().Registry());
  request.draining = m_dispatcher.Draining().Unconfirmed();
  TruncateToDatagram(request);
  return request;
}

void PermitExchange::SendPermitRequest()
{
  // Also without a holder: the demand for places shows that none replies.
  PermitRequest request = MakePermitRequest();
  if (!m_holder && !m_own_tenure)
    return;
  const bool is_empty = request.demands.empty() && request.observations.empty() &&
                        request.rejection_bounds.empty() && request.draining.empty() &&
                        request.places.Empty();
  const bool was_empty = std::exchange(m_last_request_was_empty, is_empty);
  if (is_empty && was_empty)
    return;
  const auto now = Common::Now();
  request.sequence = ++m_sequence;
  m_sent.push_back({request.sequence, now});
  if (m_sent.size() > MAX_SENT_REQUESTS)
    m_sent.pop_front();
  if (!is_empty)
    m_resend_timer.Start(ResendAfter(request), [this] {
      SchedulePermitRequest();
    });
  if (m_own_tenure)
  {
    OnPermitRequest(request, {});
    return;
  }
  Envelope envelope;
  envelope.permit_requests.push_back(std::move(request));
  m_send(*m_holder, envelope);
}

Milliseconds PermitExchange::ResendAfter(const PermitRequest& request) const
{
  if (m_dispatcher.Brittle().HasUnusedPlaces(Common::Now()))
    return MIN_REQUEST_INTERVAL;
  const bool is_urgent = !request.observations.empty() || !request.rejection_bounds.empty() ||
                         !request.draining.empty() || !request.places.demands.empty() ||
                         request.places.needs_reply ||
                         std::ranges::any_of(request.demands, [](const auto& demand) {
                           return demand.count > 0;
                         });
  if (is_urgent)
    return RESEND_AFTER;
  return request.places.held.empty() ? RESEND_PROBE_OFFERS_AFTER : RESEND_HELD_PLACES_AFTER;
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
  m_dispatcher.Brittle().ApplyObservations(request.tenure, request.rejection_bounds);
  m_dispatcher.ApplyDrainReport(request.vm, request.draining);
  UpdateAllocatorLimits(now);
  m_allocator.UpdateDemand({request.vm, request.data_centre}, request.demands, now);
  m_places.UpdateReport(request.vm, *m_own_tenure, request.places, now);
  GrantPermits();
  SendQueuePositions(request);
}

void PermitExchange::UpdateAllocatorLimits(Common::TimePoint now)
{
  const std::uint64_t revision = m_dispatcher.Limited().Revision();
  if (std::exchange(m_limits_revision, revision) != revision)
    m_allocator.SetLimits(m_dispatcher.Limited().KnownLimits(), now);
  const std::uint64_t brittle_revision = m_dispatcher.Brittle().Revision();
  if (std::exchange(m_brittle_revision, brittle_revision) != brittle_revision)
    m_places.SetServers(m_dispatcher.Brittle().KnownServers());
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
  auto queues = m_places.QueuesOf(request.vm, now);
  if (positions.empty() && queues.empty() && !request.places.needs_reply)
    return;
  PermitReply reply = ReplyTo(request.vm, m_peers.at(request.vm));
  reply.queues = std::move(queues);
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
  reply.is_holder = m_may_grant && m_may_grant();
  return reply;
}

void PermitExchange::GrantPermits()
{
  const auto now = Common::Now();
  if (!m_own_tenure || !m_may_grant || !m_may_grant())
  {
    m_places.Pause(now);
    return;
  }
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.last_request_at > PEER_TIMEOUT;
  });
  std::map<Common::VmId, PermitReply> replies;
  const auto add = [&](const RateLimits::Grant& grant,
                       std::vector<RateLimits::PermitLine> PermitReply::*lines) {
    const auto peer = m_peers.find(grant.vm);
    if (peer == m_peers.end())
      return;
    const auto [reply, is_new] = replies.try_emplace(grant.vm);
    if (is_new)
      reply->second = ReplyTo(grant.vm, peer->second);
    (reply->second.*lines).push_back({grant.server, grant.count});
  };
  for (const RateLimits::Grant& grant : m_allocator.GrantPermits(now))
    add(grant, &PermitReply::permits);
  for (const RateLimits::Grant& grant : m_places.GrantPlaces(now))
    add(grant, &PermitReply::places);
  for (const auto& [vm, reply] : replies)
    m_places.NoteSent(vm, reply.number);
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

RateLimits::LimitUpdate PermitExchange::MakeRejectionBoundUpdate(Common::TimePoint now)
{
  RateLimits::LimitRegistry& bounds = m_dispatcher.Brittle().Registry();
  bounds.Retain([this](RateLimits::ServerKey server) {
    return m_dispatcher.Servers().FindByKey(server) != nullptr;
  });
  return bounds.NextUpdate(MAX_UPDATE_LINES, now);
}

void PermitExchange::ApplyRejectionBoundUpdate(std::int64_t tenure,
                                               const RateLimits::LimitUpdate& update)
{
  if (!m_own_tenure)
    m_dispatcher.Brittle().ApplyUpdate(tenure, update);
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
  const auto places_until = sent->at + Milliseconds(reply.held_ms) + RateLimits::PLACE_TERM;
  RateLimits::LocalPlaces& places = m_dispatcher.Brittle().Places();
  for (const RateLimits::PermitLine& line : reply.places)
    places.Add(line.server, line.count, places_until, Common::Now());
  if (reply.is_holder)
    places.NoteReply();
  m_dispatcher.ApplyQueuePositions(reply.positions);
  m_dispatcher.ApplyPlaceReply(reply.queues);
}
} // namespace Orders
