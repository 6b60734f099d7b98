// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Common/Reactor.h"
#include "Gateway/Dispatcher.h"
#include "Http/TcpStream.h"
#include "Orders/Messages.h"
#include "RateLimits/PermitAllocator.h"
#include "RateLimits/PlaceAllocator.h"

namespace Orders
{
/// Sends the limits and draining servers that daemons observe to the holder of the order lease, and
/// permits for requests to rate-limited servers back to the daemons. It uses messages of its own
/// because a request waits for its permit, and a whole report for each would cost the holder too
/// much.
class PermitExchange
{
public:
  struct Settings
  {
    Common::VmId self;
    RunHash run = 0;
  };
  /// Sends a message to another daemon.
  using Sender = std::function<void(const Http::Endpoint&, const Envelope&)>;

  PermitExchange(Settings settings, Gateway::Dispatcher& dispatcher, Sender send);

  /// Sets the check by which the holder decides whether its lease is still valid.
  void SetPermission(std::function<bool()> may_grant) { m_may_grant = std::move(may_grant); }

  /// Called when the holder changes. `own_tenure` is set if this daemon is the holder.
  void SetHolder(std::optional<Http::Endpoint> holder, std::optional<std::int64_t> own_tenure);
  /// Schedules a message to the holder, because permits are needed or a limit was observed.
  void SchedulePermitRequest();

  /// Called at the holder.
  void OnPermitRequest(const PermitRequest& request, const Http::Endpoint& from);
  RateLimits::LimitUpdate MakeLimitUpdate(Common::TimePoint now);
  RateLimits::LimitUpdate MakeRejectionBoundUpdate(Common::TimePoint now);
  /// Draining servers, to be announced to all daemons.
  std::vector<RateLimits::ServerKey> NextDrainingServers(Common::TimePoint now);

  /// Handles messages from the holder.
  void ApplyLimitUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update);
  void ApplyRejectionBoundUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update);
  void OnReply(const PermitReply& reply);

  const RateLimits::PermitAllocator::Counters& Granted() const { return m_allocator.Totals(); }

private:
  struct Peer
  {
    Http::Endpoint endpoint;
    RunHash run = 0;
    std::uint64_t sequence = 0; ///< Sequence number of its last request.
    Common::TimePoint last_request_at;
  };
  struct SentRequest
  {
    std::uint64_t sequence = 0;
    Common::TimePoint at;
  };

  PermitRequest MakePermitRequest();
  void SendPermitRequest();
  void GrantPermits();
  /// Updates the limits by which the allocators grant permits and places.
  void UpdateAllocatorLimits(Common::TimePoint now);
  /// Sends the daemon the queue positions of its waiting requests.
  void SendQueuePositions(const PermitRequest& request);
  /// The minimum time between two requests.
  Common::Milliseconds RequestInterval() const;
  /// When the request is to be sent again, as the message may have been lost.
  Common::Milliseconds ResendAfter(const PermitRequest& request) const;
  void Deliver(const Common::VmId& vm, const PermitReply& reply);
  PermitReply ReplyTo(const Common::VmId& vm, const Peer& peer);

  Settings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  Sender m_send;
  std::function<bool()> m_may_grant;
  std::optional<Http::Endpoint> m_holder;
  std::optional<std::int64_t> m_own_tenure;
  std::int64_t m_tenure = 0; ///< Tenure of the last holder that sent a message.

  RateLimits::PermitAllocator m_allocator; ///< Used while this daemon is the holder.
  std::uint64_t m_limits_revision = 0;     ///< Revision of the limits that the allocator has.
  RateLimits::PlaceAllocator m_places;     ///< Used while this daemon is the holder.
  std::uint64_t m_brittle_revision = 0;    ///< Revision of the servers that it has.
  std::map<Common::VmId, Peer> m_peers;
  std::uint64_t m_reply_number = 0;

  std::uint64_t m_sequence = 0;
  std::deque<SentRequest> m_sent;
  bool m_last_request_was_empty = true;
  /// Tenure and number of the last reply that was applied.
  std::pair<std::int64_t, std::uint64_t> m_last_reply;
  Common::OwnedTimer m_request_timer;
  Common::OwnedTimer m_resend_timer;
  Common::OwnedTimer m_grant_timer;
};
} // namespace Orders
