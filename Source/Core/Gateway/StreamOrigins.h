// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "Accounts/Directory.h"
#include "Common/Units.h"
#include "Gateway/Types.h"
#include "Http/TcpStream.h"

namespace Gateway
{
/// Identifies a stream in all daemons: a cryptographic hash of the client account and of the id of
/// the request that brought the stream's first event. Callers choose these ids, and no account can
/// construct the key of another account's stream.
enum class StreamKey : std::uint64_t
{
};
StreamKey KeyOf(const Accounts::AccountName& account, std::string_view request);

/// Identifies a software version of one pool's servers in messages, where its name would make up
/// most of the message.
enum class VersionKey : std::uint32_t
{
};
VersionKey KeyOf(const PoolId& pool, const SoftwareVersion& version);

/// Where a stream began.
struct StreamOrigin
{
  VersionKey version{};
  /// The daemon through which it began, by its address for messages.
  Http::Endpoint daemon;
  std::uint32_t place = 0; ///< Hash of that daemon's data centre.

  bool operator==(const StreamOrigin&) const = default;
};

/// What other daemons replied that do not know the origin of a stream.
struct OriginEvidence
{
  int asked = 0;
  int replies = 0;
  /// When they were first asked: also requests that came later wait for these replies.
  std::optional<Common::TimePoint> asked_at;
  /// A daemon that replied knew all versions of the pool at that time, but for the newest entries.
  bool has_history = false;
  /// The versions that the stream's pool has had within the retention time of streams.
  std::set<VersionKey> versions;
  bool is_complete = false; ///< All daemons that were asked have replied.
};

/// Which software version of the servers began a stream. What two versions write does not fit
/// together, so a stream may go on only at the version that began it. Holds the streams that
/// callers received through this VM, those that callers resumed here, and the copies of other
/// daemons' streams that this daemon keeps.
class StreamOrigins
{
public:
  /// How long a stream is remembered after it was last noted: for a minute after its last event, at
  /// least, which is longer than the deadlines of callers.
  static constexpr std::chrono::seconds RETENTION{90};
  /// Interval at which the origin of a stream that is still running is recorded again.
  static constexpr std::chrono::seconds REFRESH_INTERVAL{30};
  /// Bounds the memory to some 5 MB. The oldest streams are dropped first.
  static constexpr std::size_t MAX_STREAMS = 40000;

  struct Entry
  {
    StreamOrigin origin;
    Common::TimePoint noted_at; ///< The time of the last event, within `REFRESH_INTERVAL`.
    bool copied = false;        ///< Other daemons have been sent a copy.
  };

  /// Records the origin of a stream that runs here. Returns true if other daemons should be sent a
  /// copy: the stream is new, or its entry has been refreshed.
  bool Note(StreamKey stream, const StreamOrigin& origin, Common::TimePoint now);
  /// Records another daemon's copy, last noted at `noted_at`. Of two copies the newer one counts.
  void Merge(StreamKey stream, const StreamOrigin& origin, Common::TimePoint noted_at,
             Common::TimePoint now);
  void MarkCopied(StreamKey stream);
  /// Makes Uncopied() return the stream again.
  void MarkUncopied(StreamKey stream);
  /// Returns nullopt if the origin is not known.
  std::optional<Entry> Find(StreamKey stream, Common::TimePoint now);
  /// The entries whose keys lie between `first` and `last`, both included.
  std::vector<std::pair<StreamKey, Entry>> InRange(StreamKey first, StreamKey last) const;
  /// At most `limit` streams that run here and of which no other daemon has been sent a copy.
  std::vector<StreamKey> Uncopied(std::size_t limit) const;
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Noted
  {
    Common::TimePoint at;
    StreamKey stream{};
  };

  void Put(StreamKey stream, const Entry& entry);
  void DropOld(Common::TimePoint now);

  std::map<StreamKey, Entry> m_entries;
  std::deque<Noted> m_noted; ///< Oldest first; outdated where the entry was noted again.
  std::set<StreamKey> m_uncopied;
};
} // namespace Gateway
