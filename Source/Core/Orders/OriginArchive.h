// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cereal/types/array.hpp>

#include "Common/Failure.h"
#include "Fleet/TableFollower.h"
#include "Gateway/Dispatcher.h"
#include "Orders/CrashArchive.h"
#include "Orders/OriginMessages.h"
#include "Orders/OriginPlacement.h"

namespace Orders
{
/// A software version that servers of a pool have had lately.
struct ArchivedVersion
{
  Gateway::PoolId pool;
  Gateway::SoftwareVersion version;

  auto operator<=>(const ArchivedVersion&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(pool, version);
  }
};

/// The value of the row with the versions.
struct ArchivedVersions
{
  std::vector<ArchivedVersion> versions; ///< In ascending order.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(versions);
  }
};

/// A stream and the version that began it.
struct ArchivedOrigin
{
  StreamKeyBytes stream{};
  Gateway::VersionKey version{};

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(stream, version);
  }
};

/// The value of a row with streams of one shard.
struct ArchivedOrigins
{
  std::int64_t written_at = 0; ///< Writer's Unix time in ms.
  std::vector<ArchivedOrigin> origins;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(written_at, origins);
  }
};

/// A row to be written.
struct ArchiveWrite
{
  std::string key;
  std::string value;
};

/// Access to the archive's table in the platform's store.
struct OriginArchiveAccess
{
  /// Reads the rows from `first_key` on, up to but not including `end_key`.
  std::function<void(const std::string& first_key, const std::string& end_key,
                     std::function<void(Common::Result<Fleet::TableRows>)>)>
      read;
  /// Compare-and-set of the row with the versions, see `ArchiveAccess`.
  std::function<void(std::int64_t, const std::string&,
                     std::function<void(Common::Result<std::int64_t>)>)>
      replace_versions;
  /// Writes and removes rows in one transaction, whatever their present values.
  std::function<void(std::vector<ArchiveWrite>, std::vector<std::string> removed,
                     std::function<void(Common::Result<Common::Done>)>)>
      write;
};

/// Keeps in the platform's store what the daemons know of the origins of streams, so that it
/// survives the loss of all of them: which software versions the servers have had, and, while a
/// pool has several, which of them began each stream.
///
/// The versions take one row, which the holder of the order lease writes when a version appears and
/// when one is forgotten, and which each daemon reads once when it starts. The streams are written
/// by the daemon through which they began, gathered for some time; they are read in shards, and
/// only if a caller resumes a stream that no daemon knows.
class OriginArchive
{
public:
  static constexpr const char* VERSIONS_KEY = "versions";

  struct Settings
  {
    Http::Endpoint self; ///< Address for messages.
    std::uint32_t place = 0;
    std::string run; ///< Distinguishes the rows of all runs of all daemons.
  };

  OriginArchive(Settings settings, Gateway::Dispatcher& dispatcher, OriginArchiveAccess access);

  /// Records that a stream which began here was noted.
  void NoteStream(Gateway::StreamKey stream);
  /// Reads and writes what is due; called several times a second. `daemons`: the size of the fleet,
  /// which together makes a limited number of writes.
  void Tick(bool is_holder, std::size_t daemons, Common::TimePoint now);

  /// True if streams of the shard may be in the store that this daemon has not read. Until it has
  /// read the versions after its start, that is not known.
  bool MustRestore(OriginShard shard, Common::TimePoint now) const;
  bool IsReading(OriginShard shard) const
  {
    const auto found = m_restorations.find(shard);
    return found != m_restorations.end() && found->second.is_pending;
  }
  /// Reads the shard's streams, once it is known that there are several versions; `on_done` is
  /// called once that has succeeded or failed, or when there is only one.
  void Restore(OriginShard shard, std::function<void()> on_done);

  struct Counters
  {
    std::int64_t rows_written = 0;
    std::int64_t shards_read = 0;
    std::int64_t streams_restored = 0;
    std::int64_t failures = 0;
  };
  const Counters& GetCounters() const { return m_counters; }

private:
  /// Writes of streams a second of all daemons together, and how many a daemon may make at once.
  static constexpr double MAX_WRITES_PER_SECOND = 10;
  /// The same where the fleet is so small that all its VMs may well be lost at once.
  static constexpr double MAX_WRITES_PER_SECOND_OF_SMALL_FLEET = 40;
  static constexpr std::size_t SMALL_FLEET = 12;
  static constexpr double MAX_WRITES_AT_ONCE = 5;
  /// Streams that begin within this time are written together.
  static constexpr Common::Milliseconds GATHER_TIME{5};
  /// The streams that began within this time share a row of each shard.
  static constexpr Common::Milliseconds WINDOW{5000};
  /// Rows are written over once their streams have been forgotten.
  static constexpr std::int64_t ROWS_PER_SHARD = Gateway::StreamOrigins::RETENTION / WINDOW + 2;
  static constexpr Common::Milliseconds RETRY_DELAY{300};
  /// Between two reads of the versions, where this daemon keeps losing touch.
  static constexpr Common::Milliseconds MIN_READ_INTERVAL{1000};
  /// Other daemons may have written further streams and ended since then.
  static constexpr Common::Milliseconds RESTORED_VALIDITY{5000};
  /// Rows of daemons that have ended are removed after this time, by clocks that may differ.
  static constexpr std::chrono::minutes MAX_ROW_AGE{10};
  /// Bounds a row to 48 KB, below the platform's limit of 64 KB; the oldest streams are dropped.
  static constexpr std::size_t MAX_STREAMS_PER_ROW = 4000;
  /// The platform's limit for the rows of one transaction.
  static constexpr std::size_t MAX_ROWS_PER_WRITE = 100;

  /// The streams of a shard that began in the current window, and earlier ones that have not been
  /// written.
  struct Window
  {
    std::vector<ArchivedOrigin> origins; ///< In the order in which they began.
    std::size_t written = 0;             ///< So many of the first ones have been written.
  };
  struct Restoration
  {
    bool is_pending = false;
    Common::TimePoint valid_until; ///< Until then, the shard is not read again.
    std::vector<std::function<void()>> waiting;
    std::vector<std::string> outdated; ///< Keys of rows to be removed.
  };

  void ReadVersions();
  /// `requested_at`: when the row was requested.
  void OnVersions(const Fleet::TableRows& rows, Common::TimePoint requested_at);
  void WriteVersions(const std::vector<ArchivedVersion>& versions);
  std::vector<ArchivedVersion> RecentVersions(Common::TimePoint now) const;
  /// False while versions that servers had before this daemon started, or while it was out of touch
  /// with the entries, may be missing here and the row is about to be read.
  bool KnowsVersions(Common::TimePoint now) const;
  /// Goes on with the shards that wait for the versions, if those are known.
  void RestoreAwaited(Common::TimePoint now);
  void NoteAllStreams(Common::TimePoint now);
  /// Writes the streams that have not been written as soon as this daemon may.
  void ScheduleWrite();
  void WriteStreams();
  void BeginWindow(Common::TimePoint now);
  bool HasUnwritten() const;
  std::string KeyOfRow(OriginShard shard) const;
  void ReadShard(OriginShard shard, const std::string& first_key);
  void MergeRow(OriginShard shard, const Fleet::TableRow& row);
  void FinishRestore(OriginShard shard, Common::Milliseconds validity);
  /// Removes the rows of all streams, page by page: with one version left, nobody needs them.
  void RemoveStreams();
  void Fail(std::string_view what, const Common::Failure& reason);

  Settings m_settings;
  Gateway::Dispatcher& m_dispatcher;
  OriginArchiveAccess m_access;

  bool m_is_holder = false;    ///< At the last tick.
  bool m_has_versions = false; ///< The row has been read, or is known to be absent.
  std::int64_t m_versions_row = 0;
  std::vector<ArchivedVersion> m_versions; ///< As in the row.
  /// An earlier write, of this daemon or of another one, may still be carried out. It fails once
  /// the row has a later version.
  bool m_must_write_versions = false;
  bool m_versions_restored = false;   ///< The row has been read at least once.
  bool m_versions_unreadable = false; ///< The latest read of the row failed.
  bool m_versions_call_pending = false;
  Common::TimePoint m_next_versions_call;
  Common::TimePoint m_next_versions_read;

  bool m_had_several_versions = false;
  std::map<OriginShard, Window> m_windows;
  std::int64_t m_window_number = -1;
  bool m_write_pending = false;
  double m_writes_left = MAX_WRITES_AT_ONCE;
  Common::TimePoint m_writes_counted_at;
  std::size_t m_daemons = 1;
  Common::OwnedTimer m_write_timer;

  std::map<OriginShard, Restoration> m_restorations;
  std::set<OriginShard> m_awaiting_versions; ///< Shards to be read if there are several.
  Counters m_counters;
};
} // namespace Orders
