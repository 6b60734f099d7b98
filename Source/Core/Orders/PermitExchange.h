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
#include "RateLimits/PermitKeeper.h"

namespace Orders
{
/// Carries what daemons read of servers' limits and ends to the holder of the order lease, and
/// permits for requests to servers with a limit back. Messages of its own: a request waits for its
/// permit, and a whole report for each would cost the holder too much.
class PermitExchange
{
public:
  struct Settings
  {
    Common::VmId self;
    RunHash run = 0;
  };
  /// Sends one message to another daemon.
  using Sender = std::function<void(const Http::Endpoint&, const Envelope&)>;

  PermitExchange(Settings settings, Gateway::Dispatcher& dispatcher, Sender send);

  /// At the holder: whether its lease lasts at this moment.
  void SetPermission(std::function<bool()> may_grant) { m_may_grant = std::move(may_grant); }

  /// The holder is another from now on. `own_tenure`: it is this daemon.
  void SetHolder(std::optional<Http::Endpoint> holder, std::optional<std::int64_t> own_tenure);
  /// Something is wanted, or has been read of a limit.
  void AskSoon();

  /// At the holder.
  void TakeAsk(const PermitAsk& ask, const Http::Endpoint& from);
  RateLimits::LimitNews News(Common::TimePoint now);
  /// Servers that have announced their end, for all daemons.
  std::vector<RateLimits::ServerKey> DrainNews(Common::TimePoint now);

  /// From the holder.
  void TakeNews(std::int64_t tenure, const RateLimits::LimitNews& news);
  void TakeReply(const PermitReply& reply);

  const RateLimits::PermitKeeper::Counters& Granted() const { return m_keeper.Totals(); }

private:
  struct Peer
  {
    Http::Endpoint endpoint;
    RunHash run = 0;
    std::uint64_t sequence = 0; ///< Of its last ask.
    Common::TimePoint heard_at;
  };
  struct SentAsk
  {
    std::uint64_t sequence = 0;
    Common::TimePoint at;
  };

  PermitAsk MakeAsk();
  void AskNow();
  void HandOut();
  /// The keeper hands out permits for the limits that are known now.
  void TellKeeper(Common::TimePoint now);
  /// Tells the daemon at which place its waiting requests are.
  void TellPlace(const PermitAsk& ask);
  void Deliver(const Common::VmId& vm, const PermitReply& reply);
  PermitReply ReplyTo(const Common::VmId& vm, const Peer& peer);

  Settings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  Sender m_send;
  std::function<bool()> m_may_grant;
  std::optional<Http::Endpoint> m_holder;
  std::optional<std::int64_t> m_own_tenure;
  std::int64_t m_tenure = 0; ///< Of the holder that was heard last.

  RateLimits::PermitKeeper m_keeper;   ///< Used while this daemon is the holder.
  std::uint64_t m_limits_revision = 0; ///< Of the limits that the keeper has.
  std::map<Common::VmId, Peer> m_peers;
  std::uint64_t m_reply_number = 0;

  std::uint64_t m_sequence = 0;
  std::deque<SentAsk> m_sent;
  bool m_last_ask_was_empty = true;
  std::pair<std::int64_t, std::uint64_t> m_last_reply; ///< Tenure and number.
  Common::OwnedTimer m_ask_timer;
  Common::OwnedTimer m_repeat_timer;
  Common::OwnedTimer m_hand_out_timer;
};
} // namespace Orders
