// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OriginArchive.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <ranges>
#include <utility>

#include <cereal/types/vector.hpp>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Daemons/Codec.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::StreamKey;

constexpr const char* STREAMS_PREFIX = "stream/";
/// Follows all keys that begin with the prefix.
constexpr const char* STREAMS_END = "stream0";

std::string FirstKeyOf(OriginShard shard)
{
  std::array<char, 8> digits{};
  std::snprintf(digits.data(), digits.size(), "%02x/", static_cast<unsigned>(shard));
  return STREAMS_PREFIX + std::string(digits.data());
}

/// Follows all keys of the shard: '0' is the character after the '/' that ends its prefix.
std::string EndKeyOf(OriginShard shard)
{
  std::string key = FirstKeyOf(shard);
  key.back() = '0';
  return key;
}
} // namespace

OriginArchive::OriginArchive(Settings settings, Gateway::Dispatcher& dispatcher,
                             OriginArchiveAccess access)
    : m_settings(std::move(settings)), m_dispatcher(dispatcher), m_access(std::move(access))
{
}

void OriginArchive::NoteStream(StreamKey stream)
{
  const auto now = Common::Now();
  const auto entry = m_dispatcher.Origins().Find(stream, now);
  if (!entry || !m_dispatcher.Versions().HasSeveralVersions(now))
    return;
  // The streams before it may have begun at either version too, and the daemon may not live until
  // its next tick.
  if (!std::exchange(m_had_several_versions, true))
  {
    NoteAllStreams(now);
    if (entry->origin.daemon == m_settings.self)
      return;
  }
  BeginWindow(now);
  Window& window = m_windows[ShardOf(stream)];
  if (window.origins.size() == MAX_STREAMS_PER_ROW)
  {
    window.origins.erase(window.origins.begin());
    window.written -= std::min<std::size_t>(window.written, 1);
  }
  window.origins.push_back({ToBytes(stream), entry->origin.version});
  ScheduleWrite();
}

bool OriginArchive::HasUnwritten() const
{
  return std::ranges::any_of(m_windows | std::views::values, [](const Window& window) {
    return window.written < window.origins.size();
  });
}

void OriginArchive::BeginWindow(TimePoint now)
{
  const std::int64_t number = now.time_since_epoch() / WINDOW;
  if (number == m_window_number)
    return;
  m_window_number = number;
  for (auto& [shard, window] : m_windows)
  {
    const auto written = static_cast<std::ptrdiff_t>(window.written);
    window.origins.erase(window.origins.begin(), window.origins.begin() + written);
    window.written = 0;
  }
  std::erase_if(m_windows, [](const auto& entry) {
    return entry.second.origins.empty();
  });
}

void OriginArchive::NoteAllStreams(TimePoint now)
{
  const auto entries = m_dispatcher.Origins().InRange(StreamKey{}, StreamKey(~std::uint64_t{0}));
  for (const auto& [stream, entry] : entries)
    if (entry.origin.daemon == m_settings.self &&
        now - entry.noted_at < Gateway::StreamOrigins::RETENTION)
      NoteStream(stream);
}

void OriginArchive::Tick(bool is_holder, std::size_t daemons, TimePoint now)
{
  if (!m_access.read)
    return;
  m_daemons = std::max<std::size_t>(daemons, 1);
  // Another holder may have written the row meanwhile.
  if (!std::exchange(m_is_holder, is_holder) && is_holder)
  {
    m_has_versions = false;
    m_must_write_versions = true;
  }
  Gateway::VersionHistory& history = m_dispatcher.Versions();
  // Before the row is read: what it holds counts only for entries that have been followed since.
  history.Observe(now);
  const bool may_call = !m_versions_call_pending && now >= m_next_versions_call;
  const bool lacks_history =
      history.IsCurrent(now) && !history.IsComplete(now) && now >= m_next_versions_read;
  if (may_call && (lacks_history || (is_holder && !m_has_versions)))
    ReadVersions();
  else if (may_call && is_holder && history.IsCurrent(now))
    if (const auto versions = RecentVersions(now); versions != m_versions || m_must_write_versions)
      WriteVersions(versions);

  const bool has_several = history.HasSeveralVersions(now);
  if (has_several && !std::exchange(m_had_several_versions, true))
    NoteAllStreams(now);
  m_had_several_versions = has_several;
  RestoreAwaited(now);
}

void OriginArchive::ReadVersions()
{
  m_versions_call_pending = true;
  m_access.read(VERSIONS_KEY, std::string(VERSIONS_KEY) + "0",
                [this, requested_at = Common::Now()](Common::Result<Fleet::TableRows> rows) {
                  m_versions_call_pending = false;
                  m_versions_unreadable = !rows;
                  if (rows)
                    OnVersions(*rows, requested_at);
                  else
                    Fail("versions-read", rows.Reason());
                });
}

void OriginArchive::OnVersions(const Fleet::TableRows& rows, TimePoint requested_at)
{
  m_has_versions = true;
  m_versions_row = 0;
  m_versions.clear();
  const auto row = std::ranges::find(rows.rows, VERSIONS_KEY, &Fleet::TableRow::key);
  const auto now = Common::Now();
  if (row != rows.rows.end())
  {
    m_versions_row = row->version;
    const auto archived = Daemons::Decode<ArchivedVersions>(row->value);
    if (!archived)
    {
      m_versions_unreadable = true;
      // The holder writes the row again.
      Fail("versions-decode", archived.Reason());
      return;
    }
    m_versions = archived->versions;
  }
  // How long ago a version went is not known.
  std::ranges::for_each(m_versions, [&](const ArchivedVersion& entry) {
    m_dispatcher.Versions().Note(entry.pool, entry.version, now);
  });
  m_next_versions_read = now + MIN_READ_INTERVAL;
  m_versions_restored = true;
  m_dispatcher.NoteVersionsRestored(requested_at);
  RestoreAwaited(now);
}

std::vector<ArchivedVersion> OriginArchive::RecentVersions(TimePoint now) const
{
  std::vector<ArchivedVersion> result;
  for (const auto& [pool, versions] : m_dispatcher.Versions().AllRecent(now))
    std::ranges::transform(versions, std::back_inserter(result),
                           [&pool = pool](const auto& version) {
                             return ArchivedVersion{pool, version};
                           });
  return result;
}

void OriginArchive::WriteVersions(const std::vector<ArchivedVersion>& versions)
{
  m_versions_call_pending = true;
  const ArchivedVersions archived{versions};
  m_access.replace_versions(m_versions_row, Daemons::Encode(archived),
                            [this, versions](Common::Result<std::int64_t> row) {
                              m_versions_call_pending = false;
                              if (!row)
                              {
                                // Another holder has written the row, or the call may have.
                                m_has_versions = false;
                                m_must_write_versions = true;
                                Fail("versions-write", row.Reason());
                                return;
                              }
                              m_versions_row = *row;
                              m_versions = versions;
                              m_must_write_versions = false;
                              ++m_counters.rows_written;
                              Common::LogEvent(Common::LogLevel::Info, "versions-archived",
                                               {{"row", *row}, {"versions", versions.size()}});
                              if (!m_dispatcher.Versions().HasSeveralVersions(Common::Now()))
                                RemoveStreams();
                            });
}

std::string OriginArchive::KeyOfRow(OriginShard shard) const
{
  return FirstKeyOf(shard) + m_settings.run + "/" +
         std::to_string(m_window_number % ROWS_PER_SHARD);
}

void OriginArchive::ScheduleWrite()
{
  if (!HasUnwritten() || m_write_pending || m_write_timer.Running())
    return;
  using Seconds = std::chrono::duration<double>;
  const auto now = Common::Now();
  const double total =
      m_daemons <= SMALL_FLEET ? MAX_WRITES_PER_SECOND_OF_SMALL_FLEET : MAX_WRITES_PER_SECOND;
  const double rate = total / static_cast<double>(m_daemons);
  m_writes_left = std::min(
      m_writes_left + Seconds(now - std::exchange(m_writes_counted_at, now)).count() * rate,
      MAX_WRITES_AT_ONCE);
  const Seconds until_allowed(std::max(1 - m_writes_left, 0.0) / rate);
  m_write_timer.Start(std::max(GATHER_TIME, std::chrono::ceil<Milliseconds>(until_allowed)),
                      [this] {
                        WriteStreams();
                      });
}

void OriginArchive::WriteStreams()
{
  m_writes_left -= 1;
  std::vector<ArchiveWrite> rows;
  std::map<OriginShard, std::size_t> counts;
  for (const auto& [shard, window] : m_windows)
  {
    if (window.written == window.origins.size())
      continue;
    rows.push_back({KeyOfRow(shard),
                    Daemons::Encode(ArchivedOrigins{Common::UnixTime().count(), window.origins})});
    counts[shard] = window.origins.size();
  }
  m_counters.rows_written += static_cast<std::int64_t>(rows.size());
  m_write_pending = true;
  m_access.write(std::move(rows), {},
                 [this, counts, number = m_window_number](Common::Result<Common::Done> done) {
                   m_write_pending = false;
                   if (!done)
                     Fail("streams-write", done.Reason());
                   else if (number == m_window_number)
                     for (const auto& [shard, count] : counts)
                       m_windows[shard].written = std::min(count, m_windows[shard].origins.size());
                   ScheduleWrite();
                 });
}

bool OriginArchive::KnowsVersions(TimePoint now) const
{
  const Gateway::VersionHistory& history = m_dispatcher.Versions();
  if (history.HasSeveralVersions(now) || history.IsComplete(now))
    return true;
  // Without touch the row is not read. What this daemon replies then is no evidence.
  return m_versions_restored && (m_versions_unreadable || !history.IsCurrent(now));
}

bool OriginArchive::MustRestore(OriginShard shard, TimePoint now) const
{
  if (!m_access.read)
    return false;
  if (!KnowsVersions(now))
    return true;
  if (!m_dispatcher.Versions().HasSeveralVersions(now))
    return false;
  const auto found = m_restorations.find(shard);
  return found == m_restorations.end() || found->second.is_pending ||
         now >= found->second.valid_until;
}

void OriginArchive::Restore(OriginShard shard, std::function<void()> on_done)
{
  Restoration& restoration = m_restorations[shard];
  restoration.waiting.push_back(std::move(on_done));
  if (std::exchange(restoration.is_pending, true))
    return;
  if (KnowsVersions(Common::Now()))
    ReadShard(shard, FirstKeyOf(shard));
  else
    m_awaiting_versions.insert(shard);
}

void OriginArchive::RestoreAwaited(TimePoint now)
{
  if (!KnowsVersions(now))
    return;
  const bool has_several = m_dispatcher.Versions().HasSeveralVersions(now);
  for (const OriginShard shard : std::exchange(m_awaiting_versions, {}))
  {
    if (has_several)
      ReadShard(shard, FirstKeyOf(shard));
    else
      FinishRestore(shard, Milliseconds(0));
  }
}

void OriginArchive::ReadShard(OriginShard shard, const std::string& first_key)
{
  m_access.read(first_key, EndKeyOf(shard),
                [this, shard, first_key](Common::Result<Fleet::TableRows> rows) {
                  if (!rows)
                  {
                    Fail("streams-read", rows.Reason());
                    FinishRestore(shard, RETRY_DELAY);
                    return;
                  }
                  std::ranges::for_each(rows->rows, [this, shard](const Fleet::TableRow& row) {
                    MergeRow(shard, row);
                  });
                  // The last row of a page is the first one of the next page.
                  const bool goes_on =
                      rows->more && !rows->rows.empty() && rows->rows.back().key != first_key;
                  if (goes_on)
                  {
                    ReadShard(shard, rows->rows.back().key);
                    return;
                  }
                  ++m_counters.shards_read;
                  FinishRestore(shard, RESTORED_VALIDITY);
                });
}

void OriginArchive::MergeRow(OriginShard shard, const Fleet::TableRow& row)
{
  const auto archived = row.key.starts_with(STREAMS_PREFIX)
                            ? Daemons::Decode<ArchivedOrigins>(row.value)
                            : Common::Result<ArchivedOrigins>(ArchivedOrigins{});
  if (!archived)
  {
    Fail("streams-decode", archived.Reason());
    return;
  }
  if (row.key.starts_with(STREAMS_PREFIX) &&
      archived->written_at < (Common::UnixTime() - MAX_ROW_AGE).count())
  {
    m_restorations[shard].outdated.push_back(row.key);
    return;
  }
  const auto now = Common::Now();
  for (const ArchivedOrigin& origin : archived->origins)
  {
    const StreamKey stream = ToStreamKey(origin.stream);
    if (m_dispatcher.Origins().Find(stream, now))
      continue;
    m_dispatcher.Origins().Merge(stream, {origin.version, m_settings.self, m_settings.place}, now,
                                 now);
    ++m_counters.streams_restored;
  }
}

void OriginArchive::FinishRestore(OriginShard shard, Milliseconds validity)
{
  Restoration& restoration = m_restorations[shard];
  restoration.is_pending = false;
  restoration.valid_until = Common::Now() + validity;
  std::vector<std::string> outdated = std::exchange(restoration.outdated, {});
  outdated.resize(std::min(outdated.size(), MAX_ROWS_PER_WRITE));
  if (!outdated.empty())
    m_access.write({}, std::move(outdated), [](const Common::Result<Common::Done>&) {});
  for (const auto& on_done : std::exchange(restoration.waiting, {}))
    on_done();
}

void OriginArchive::RemoveStreams()
{
  m_access.read(STREAMS_PREFIX, STREAMS_END, [this](Common::Result<Fleet::TableRows> rows) {
    if (!rows)
    {
      Fail("streams-read", rows.Reason());
      return;
    }
    std::vector<std::string> keys;
    for (const Fleet::TableRow& row : rows->rows)
      if (row.key.starts_with(STREAMS_PREFIX) && keys.size() < MAX_ROWS_PER_WRITE)
        keys.push_back(row.key);
    if (keys.empty() || m_dispatcher.Versions().HasSeveralVersions(Common::Now()))
      return;
    m_access.write({}, std::move(keys), [this](Common::Result<Common::Done> done) {
      if (done)
        RemoveStreams();
      else
        Fail("streams-remove", done.Reason());
    });
  });
}

void OriginArchive::Fail(std::string_view what, const Common::Failure& reason)
{
  ++m_counters.failures;
  m_next_versions_call = Common::Now() + RETRY_DELAY;
  Common::LogEvent(Common::LogLevel::Warning, "origin-archive-failed",
                   {{"call", what}, {"reason", reason.detail}});
}
} // namespace Orders
