// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Reactor.h"
#include "Fleet/MemberList.h"
#include "Gateway/Dispatcher.h"
#include "Orders/MemberExchange.h"
#include "Orders/OriginArchive.h"
#include "Orders/OriginMessages.h"
#include "Orders/OriginPlacement.h"

namespace Orders
{
/// Keeps copies of the origins of streams at other daemons, and asks those daemons for the origin
/// of a stream that a caller resumes here. It depends neither on the holder of the order lease nor
/// on the platform's store.
///
/// Designed for this load pattern: each of hundreds of daemons begins a hundred streams a second,
/// few of which are resumed. A beginning costs two datagrams, a resumption some dozen.
class OriginExchange
{
public:
  struct Settings
  {
    Http::Endpoint self; ///< Address for messages.
    Fleet::PlaceHash place = 0;
    std::uint32_t run = 0; ///< Hash of this run of the daemon.
  };
  using Sender = std::function<void(const Http::Endpoint&, const std::string&)>;

  OriginExchange(Settings settings, Gateway::Dispatcher& dispatcher, const MemberExchange& members,
                 Sender send);

  /// Uses the archive, which must live as long as this object, for streams that no daemon knows.
  void UseArchive(OriginArchive& archive) { m_archive = &archive; }
  /// Connects the dispatcher, and begins to send copies.
  void Start();
  /// Sets the holder of the order lease, which is asked while the other daemons are not known.
  void SetHolder(std::optional<Http::Endpoint> holder) { m_holder = holder; }
  /// Returns false if the message is malformed.
  bool OnMessage(std::string_view bytes, const Http::Endpoint& from);
  /// Sends the copies for which the changed list of daemons calls for other daemons.
  void OnMembersChanged();
  /// Sends the copies that have not been sent, in several turns.
  void SendUncopied();
  /// Sends the copies that this daemon keeps to those that keep them once it has stopped.
  void HandOver();
  /// Called at least every second with whether this daemon is in contact with the holder of the
  /// order lease, or is the holder. Copies that were sent without contact may have been lost.
  void SetContact(bool has_contact);

  struct Counters
  {
    std::int64_t copies_sent = 0;
    std::int64_t copies_moved = 0; ///< Of `copies_sent`, those after a change of the list.
    std::int64_t queries = 0;
    std::int64_t replies_not_asked_for = 0;
    std::int64_t copies_of_strangers = 0; ///< From senders that are not daemons.
  };
  const Counters& GetCounters() const { return m_counters; }

private:
  /// While a pool has only had one software version, copies are not necessary: a version that
  /// appears later leaves time to send them. Then this many streams a second are copied, so that
  /// most survive the failure of this VM at that very time.
  static constexpr double SPARE_COPIES_PER_SECOND = 60;
  static constexpr Common::Milliseconds TICK{250};
  /// Streams whose copies are sent in one turn of the loop, and the pause between two turns.
  static constexpr std::size_t COPIES_PER_TURN = 200;
  static constexpr Common::Milliseconds TURN_PAUSE{10};
  /// Contact may have been lost for this long when it is noticed.
  static constexpr Common::Milliseconds CONTACT_LOSS_DELAY{2000};
  /// After a change of the list further changes usually follow.
  static constexpr Common::Milliseconds MOVE_DELAY{100};
  /// Random part of the delay, so that not all daemons send to a new one at once.
  static constexpr std::uint64_t MOVE_SPREAD_MS = 200;
  static constexpr std::size_t COPIES_PER_DATAGRAM = 1000;
  static constexpr std::size_t GROUPS_PER_TURN = 64;
  /// After a start, contact with the holder usually follows the list within this time.
  static constexpr Common::Milliseconds REQUEST_DELAY{300};
  /// A query without a reply is sent again after this time, then after twice as long, and so on.
  static constexpr Common::Milliseconds FIRST_RESEND{50};
  static constexpr Common::Milliseconds LAST_RESEND{400};
  /// A query ends when no request waits for it any more, at the latest after this time.
  static constexpr Common::Milliseconds QUERY_TIMEOUT{10000};
  static constexpr std::size_t MAX_QUERIES = 5000;

  struct Query
  {
    std::uint64_t nonce = 0;
    Gateway::StreamKey stream{};
    Gateway::PoolId pool;
    std::set<Http::Endpoint> asked;
    std::set<Http::Endpoint> unanswered; ///< Those of `asked` that have not replied.
    Gateway::OriginEvidence evidence;
    Common::TimePoint began_at;
    Common::Milliseconds resend_after = FIRST_RESEND;
    Common::OwnedTimer timer;
  };

  void Tick();
  void OnStreamNoted(Gateway::StreamKey stream);
  void SendCopies(Gateway::StreamKey stream);
  OriginCopy CopyOf(Gateway::StreamKey stream, const Gateway::StreamOrigins::Entry& entry) const;
  /// Sends what changed between `m_placed` and `m_moving_to`, one part after the other.
  void MoveGroups(std::size_t first_group);
  /// The list as copies are to be placed now.
  std::vector<Fleet::ListedDaemon> ListForCopies() const;
  /// After a start without a holder, which would inform the others: requests the copies that this
  /// daemon should keep.
  void RequestCopies();
  /// Sends a daemon that has started the copies that it should keep.
  void SendCopiesTo(const Fleet::ListedDaemon& started);
  using Messages = std::map<Http::Endpoint, OriginMessage>;
  /// Adds the copies of the group that are to be moved.
  void MoveGroup(OriginGroup group, Messages& messages);
  /// Sends the copies, in datagrams of limited size.
  void SendMoved(const Messages& messages);
  /// True if the daemon is in `before` and has not restarted between the two lists.
  bool IsSameRun(const std::vector<Http::Endpoint>& before, const Http::Endpoint& receiver) const;
  /// Sends the copies of streams that began here and were noted since then once more.
  void ResendSince(Common::TimePoint moment);
  void Ask(Gateway::StreamKey stream, const Gateway::PoolId& pool);
  /// Adds the daemons that are to be asked by the present list.
  void ChooseDaemons(Query& query);
  /// Sends the query to the daemons that have not replied, and again after a while.
  void SendQuery(Query& query);
  void OnQuery(const OriginQuery& query, const Http::Endpoint& from);
  /// Reads what the archive has of the stream's shard if this daemon is one of those that do.
  /// Returns true while that goes on.
  bool RestoreFromArchive(Gateway::StreamKey stream);
  /// Goes on with the queries for streams of the shard.
  void OnRestored(OriginShard shard);
  /// Passes on that the daemons which replied do not know the origin. Ends the query if no more
  /// replies are expected.
  void ReportNoOrigin(Gateway::StreamKey stream);
  void OnReply(const OriginReply& reply, const Http::Endpoint& from);
  static Gateway::StreamOrigin OriginIn(const OriginCopy& copy, const Http::Endpoint& from);
  /// Nullopt if the copy is older than origins are kept.
  static std::optional<Common::Milliseconds> AgeOf(const OriginCopy& copy);
  void MergeCopy(const OriginCopy& copy, const Http::Endpoint& from);

  Settings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  const MemberExchange& m_members;
  OriginArchive* m_archive = nullptr;
  Sender m_send;
  std::optional<Http::Endpoint> m_holder;
  double m_spare_copies = SPARE_COPIES_PER_SECOND;
  std::map<Gateway::StreamKey, Query> m_queries;
  std::map<std::uint64_t, Gateway::StreamKey> m_streams_by_nonce;
  /// The list by which the copies that were sent are placed.
  std::vector<Fleet::ListedDaemon> m_placed;
  std::vector<Fleet::ListedDaemon> m_moving_to;
  std::optional<Common::TimePoint> m_lost_contact_at;
  bool m_has_list = false;
  bool m_is_stopping = false;
  Counters m_counters;
  Common::OwnedTimer m_tick_timer;
  Common::OwnedTimer m_send_timer;
  Common::OwnedTimer m_move_timer;
  Common::OwnedTimer m_request_timer;
};
} // namespace Orders
