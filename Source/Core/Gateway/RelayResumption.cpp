// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Streams that callers resume after a connection broke. They may go on only at servers with the
// software version that began them.

#include "Gateway/Relay.h"

#include <algorithm>

#include "Common/Log.h"
#include "Gateway/Dispatcher.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// A daemon that knows the origin usually replies within this time. After it, a stream whose origin
/// no daemon has named yet goes on if the servers have had only one version.
constexpr Milliseconds ORIGIN_REPLY_TIME{150};
/// Retry-After if no daemon that was asked knows the origin: only a change of the servers' versions
/// helps.
constexpr Milliseconds RETRY_AFTER_UNKNOWN_ORIGIN{2000};
/// Retry-After if some daemons did not reply.
constexpr Milliseconds RETRY_AFTER_NO_REPLY{500};
} // namespace

std::string_view ToString(OriginSource source)
{
  switch (source)
  {
  case OriginSource::NotResumed:
    return "not_resumed";
  case OriginSource::Own:
    return "own";
  case OriginSource::OtherDaemon:
    return "other_daemon";
  case OriginSource::OnlyVersion:
    return "only_version";
  case OriginSource::Unknown:
    break;
  }
  return "unknown";
}

bool Relay::MustAwaitOrigin()
{
  if (m_route.repeatability != Repeatability::Streaming || !m_events.LastId())
    return false;
  m_origin_source = OriginSource::Unknown;
  if (const auto known = m_dispatcher.Origins().Find(m_stream, Common::Now());
      known && !m_resumes.empty())
  {
    BindToOrigin(*known, OriginSource::Own);
    return false;
  }
  m_awaits_origin = true;
  if (m_resumes.empty() || !m_dispatcher.QueryOrigin(m_stream, m_pool, shared_from_this()))
  {
    // No other daemon can be asked, so that the versions known here decide.
    m_origin_evidence.is_complete = true;
    if (BindToOnlyVersion())
      ContinueWithOrigin();
    else if (RecentVersions().size() != 1)
      RefuseUnknownOrigin();
    else
      AwaitOriginUntilExpiry();
    return true;
  }
  if (!m_awaits_origin || m_done)
    return true;
  m_wait_timer.Start(std::min(ORIGIN_REPLY_TIME, WaitLeft(Common::Now())), [this] {
    AwaitOriginUntilExpiry();
    RecheckOrigin();
  });
  return true;
}

void Relay::AwaitOriginUntilExpiry()
{
  m_wait_timer.Start(WaitLeft(Common::Now()), [this] {
    OnOriginWaitExpired();
  });
}

void Relay::RecheckOrigin()
{
  const auto guard = shared_from_this();
  if (m_awaits_origin && !m_done && BindToOnlyVersion())
    ContinueWithOrigin();
}

void Relay::RecheckProof()
{
  const auto guard = shared_from_this();
  RecheckOrigin();
  if (m_waiting && !m_done)
    EndIfVersionIsGone();
}

void Relay::BindToOrigin(const StreamOrigins::Entry& entry, OriginSource source)
{
  m_origin = entry.origin;
  m_origin_source = source;
  m_stream_version = entry.origin.version;
  LogOrigin(&entry);
}

bool Relay::IsHistoryKnown() const
{
  const VersionHistory& history = m_dispatcher.Versions();
  // Other daemons reply for one pool.
  return (m_origin_evidence.has_history && PoolsOfStream().size() == 1 &&
          history.Continues(std::min(m_origin_evidence.asked_at.value_or(m_arrived), m_arrived))) ||
         !m_dispatcher.MayLackVersions() || history.IsComplete(Common::Now());
}

bool Relay::KnowsServersAtArrival()
{
  if (!m_dispatcher.MayLackVersions() || m_dispatcher.Versions().IsProvenSince(m_arrived))
    return true;
  m_dispatcher.AwaitProof(shared_from_this());
  return false;
}

std::set<PoolId> Relay::PoolsOfStream() const
{
  const std::string* host = m_request.head.Find("Host");
  const std::string_view target = m_request.head.target;
  return m_dispatcher.Routes().RecentPools(host == nullptr ? "" : *host,
                                           target.substr(0, target.find('?')), Common::Now());
}

std::set<SoftwareVersion> Relay::RecentVersions() const
{
  std::set<SoftwareVersion> versions;
  for (const PoolId& pool : PoolsOfStream())
    versions.merge(m_dispatcher.Versions().Recent(pool, Common::Now()));
  return versions;
}

bool Relay::BindToOnlyVersion()
{
  const std::set<SoftwareVersion> known = RecentVersions();
  if (known.size() != 1)
    return false;
  std::set<VersionKey> versions = m_origin_evidence.versions;
  versions.insert(KeyOf(m_pool, *known.begin()));
  if (versions.size() != 1 || !KnowsServersAtArrival() || !IsHistoryKnown())
    return false;
  m_origin_source = OriginSource::OnlyVersion;
  m_stream_version = *versions.begin();
  LogOrigin(nullptr);
  return true;
}

void Relay::LearnOrigin(const StreamOrigins::Entry& entry, const OriginEvidence& evidence)
{
  const auto guard = shared_from_this();
  m_origin_evidence = evidence;
  BindToOrigin(entry, OriginSource::OtherDaemon);
  ContinueWithOrigin();
}

void Relay::LearnNoOrigin(const OriginEvidence& evidence)
{
  const auto guard = shared_from_this();
  m_origin_evidence = evidence;
  if (!evidence.is_complete)
    return;
  if (BindToOnlyVersion())
    ContinueWithOrigin();
  else if (evidence.versions.size() > 1 || RecentVersions().size() != 1)
    RefuseUnknownOrigin();
  // Otherwise the newest entries are missing, and may arrive while the request may wait.
}

void Relay::OnOriginWaitExpired()
{
  const auto guard = shared_from_this();
  if (BindToOnlyVersion())
    ContinueWithOrigin();
  else
    RefuseUnknownOrigin();
}

void Relay::RefuseUnknownOrigin()
{
  const auto guard = shared_from_this();
  LogOrigin(nullptr);
  m_retry_after = m_origin_evidence.is_complete ? RETRY_AFTER_UNKNOWN_ORIGIN : RETRY_AFTER_NO_REPLY;
  Refuse("it is not known which software version began the stream");
}

void Relay::ContinueWithOrigin()
{
  m_awaits_origin = false;
  m_dispatcher.DropAwaiting(m_stream);
  m_wait_timer.Stop();
  if (!m_done)
    TakeAllowance();
}

void Relay::LogOrigin(const StreamOrigins::Entry* entry) const
{
  const auto now = Common::Now();
  const auto age =
      entry == nullptr ? Milliseconds(-1) : std::chrono::floor<Milliseconds>(now - entry->noted_at);
  Common::LogEvent(
      m_origin_source == OriginSource::Unknown ? Common::LogLevel::Warning : Common::LogLevel::Info,
      "stream-resumed",
      {{"id", m_id},
       {"resumes", m_resumes},
       {"pool", m_pool},
       {"origin", ToString(m_origin_source)},
       {"began_at", entry == nullptr ? std::string() : entry->origin.daemon.ToString()},
       {"age_ms", age.count()},
       {"asked", m_origin_evidence.asked},
       {"replies", m_origin_evidence.replies},
       {"entries_age_ms", m_dispatcher.Servers().Age(now).value_or(Milliseconds(-1)).count()},
       {"ms", std::chrono::floor<Milliseconds>(now - m_arrived).count()}});
}

void Relay::NoteStream()
{
  if ((m_id.empty() && m_resumes.empty()) || !m_server)
    return;
  m_stream_noted_at = Common::Now();
  m_dispatcher.NoteStream(m_stream, m_pool, m_server->Entry().version, m_origin);
}
} // namespace Gateway
