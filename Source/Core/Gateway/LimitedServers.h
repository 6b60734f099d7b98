// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/ServerDirectory.h"
#include "RateLimits/LimitBook.h"
#include "RateLimits/LocalPermits.h"
#include "RateLimits/PermitKeeper.h"

namespace Gateway
{
/// The backend servers that name how many requests a second they take, and what this daemon may
/// send to them. The directory's servers are told of their limits.
class LimitedServers
{
public:
  explicit LimitedServers(ServerDirectory& servers) : m_servers(servers) {}

  /// Called after a limit has begun, changed or ended here.
  void OnChange(std::function<void()> callback) { m_on_change = std::move(callback); }

  /// A server has answered a request that was sent to it at `sent_at`.
  void NoteAnswer(const Server& server, const RateLimits::LimitReading& reading,
                  Common::TimePoint sent_at);
  /// What the holder announced.
  void TakeNews(std::int64_t tenure, const RateLimits::LimitNews& news);
  /// Of what the holder announces, the queues for servers alone.
  void TakeQueues(const RateLimits::LimitNews& news, Common::TimePoint now);
  /// As the holder: what another daemon read.
  void TakeObservations(std::int64_t tenure, const Common::VmId& from,
                        std::span<const RateLimits::LimitObservation> observations);
  /// The directory has changed.
  void Refresh();

  RateLimits::LimitBook& Book() { return m_book; }
  RateLimits::LocalPermits& Permits() { return m_permits; }
  const RateLimits::LocalPermits& Permits() const { return m_permits; }
  /// Servers with a limit.
  const std::vector<ServerPtr>& All() const { return m_limited; }
  /// Rises when a limit or a server changes.
  std::uint64_t Revision() const { return m_revision; }
  /// For the one that hands out permits.
  std::vector<RateLimits::PermitKeeper::KnownLimit> KnownLimits() const;

  /// True where the server has no limit, or this daemon may send a request to it now.
  bool MaySend(const Server& server, Common::TimePoint now);
  /// A request is sent.
  void NoteSend(const Server& server, Common::TimePoint now);

  /// How long one more request would wait for its permit.
  Common::Milliseconds ExpectedWait(const Server& server) const;
  /// The same behind `own` requests of this daemon, whatever waits here now.
  Common::Milliseconds WaitBehind(const Server& server, int own) const;
  /// When a request that was refused now should come back: each one that is told so comes later
  /// than the one before, so that they do not return together.
  Common::Milliseconds ComeBackAfter(const Server& server, Common::TimePoint now);
  /// What comes before this daemon's requests, as the holder answered.
  void SetPlaces(const std::vector<RateLimits::PlaceLine>& lines, Common::TimePoint now);
  /// Requests of this daemon that wait for the server's permits.
  void SetOwnWaiting(std::map<RateLimits::ServerKey, std::uint32_t> waiting)
  {
    m_own_waiting = std::move(waiting);
  }

  std::int64_t UnreadableAnswers() const { return m_unreadable; }

private:
  /// Until the next permit is free, where none waits.
  Common::Milliseconds FreeIn(const Server& server, Common::TimePoint now) const;
  void Report(const std::vector<RateLimits::LimitChange>& changes, std::string_view source);

  ServerDirectory& m_servers;
  RateLimits::LimitBook m_book;
  RateLimits::LocalPermits m_permits;
  std::vector<ServerPtr> m_limited;
  /// Of all daemons, as the holder last told.
  std::map<RateLimits::ServerKey, std::uint32_t> m_waiting;
  std::map<RateLimits::ServerKey, std::uint32_t> m_own_waiting;
  struct Ahead
  {
    std::uint32_t count = 0;
    Common::TimePoint told_at;
  };
  std::map<RateLimits::ServerKey, Ahead> m_ahead;
  /// When the next permit of a server is free, as the holder last told.
  struct FreeAt
  {
    Common::TimePoint at;
    Common::TimePoint told_at;
  };
  std::map<RateLimits::ServerKey, FreeAt> m_free_at;
  std::map<RateLimits::ServerKey, Common::TimePoint> m_next_return;
  std::map<RateLimits::ServerKey, std::string> m_learned_from;
  std::function<void()> m_on_change;
  std::int64_t m_unreadable = 0;
  std::uint64_t m_revision = 1;
};
} // namespace Gateway
