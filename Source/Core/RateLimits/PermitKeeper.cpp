// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/PermitKeeper.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;
using Seconds = std::chrono::duration<double>;

/// A bucket holds one request plus the inflow of this many seconds.
constexpr double GATHERED_S = 0.25;
/// If no request waits, one request per interval probes whether the limit still applies.
constexpr Milliseconds PROBE_INTERVAL{1000};
/// Validity of a daemon's demand, which it repeats twice in this time. Older demand has mostly
/// ended, and the message that said so was lost.
constexpr Milliseconds WANT_VALID{400};
/// Validity of an offer to probe, which is repeated twice in this time.
constexpr Milliseconds PROBE_OFFER_VALID{2500};
/// Upper bound for the waiting time of a request.
constexpr Milliseconds LONGEST_WAIT{600000};
/// A daemon that has not sent its demand for this long is no longer a standby.
constexpr Milliseconds STANDBY_ASKED_WITHIN{10000};
constexpr Milliseconds LOOK_FOR_SILENT_EVERY{1000};
/// Minimum requests per second of a standby: less is hardly useful before the next holder takes
/// over.
constexpr double LEAST_STANDBY_FLOW = 0.25;
/// Maximum time for which a bucket is refilled at once, after this process was suspended.
constexpr Milliseconds LONGEST_FILL{1000};
} // namespace

bool PermitKeeper::Want::Waits(Common::TimePoint now) const
{
  return told.count > 0 && now - told_at <= WANT_VALID && now < GivesUpAt();
}

bool PermitKeeper::Want::MayProbe(Common::TimePoint now) const
{
  return told.may_probe && now - told_at <= PROBE_OFFER_VALID;
}

bool PermitKeeper::Bucket::MayHaveWaiting(Common::TimePoint now) const
{
  return wait_told_at && now - *wait_told_at <= WANT_VALID;
}

bool PermitKeeper::Bucket::MayHaveProbes(Common::TimePoint now) const
{
  return probe_told_at && now - *probe_told_at <= PROBE_OFFER_VALID;
}

Common::TimePoint PermitKeeper::Bucket::ProbeDueAt() const
{
  return granted_at ? *granted_at + PROBE_INTERVAL : Common::TimePoint::min();
}

double PermitKeeper::Bucket::Capacity() const
{
  return 1 + Flow() * GATHERED_S;
}

void PermitKeeper::Bucket::Fill(Common::TimePoint now)
{
  const Seconds since = std::min<Seconds>(now - filled_at, LONGEST_FILL);
  filled_at = now;
  level = std::min(level + since.count() * Flow(), Capacity());
}

std::map<Common::VmId, PermitKeeper::Want>::iterator
PermitKeeper::Bucket::MostUrgent(Common::TimePoint now)
{
  const bool probe_due = now >= ProbeDueAt();
  if (!MayHaveWaiting(now) && !(probe_due && MayHaveProbes(now)))
    return wants.end();
  const auto may_have = [&](const Want& want) {
    return want.Waits(now) || (probe_due && want.MayProbe(now));
  };
  const auto rank = [&](const auto& entry) {
    const Want& want = entry.second;
    return std::tuple(!want.Waits(now), !may_have(want), want.told.priority, want.GivesUpAt());
  };
  const auto first = std::ranges::min_element(wants, {}, rank);
  if (first != wants.end() && may_have(first->second))
    return first;
  wait_told_at.reset();
  if (probe_due)
    probe_told_at.reset();
  return wants.end();
}

void PermitKeeper::Bucket::ChooseStandbys()
{
  const auto most = static_cast<std::size_t>(
      std::max(std::floor(Flow() * UNHEARD_SHARE / LEAST_STANDBY_FLOW), 1.0));
  // Existing standbys are kept: if two daemons alternated, both might act as standby at the same
  // time.
  const auto rank = [this](const Common::VmId& vm) {
    const bool is_near = wants.at(vm).data_centre == data_centre;
    return std::pair(!is_near, std::ranges::find(standbys, vm) == standbys.end());
  };
  std::vector<Common::VmId> candidates;
  std::ranges::copy(std::views::keys(wants), std::back_inserter(candidates));
  std::ranges::stable_sort(candidates, {}, rank);
  candidates.resize(std::min(candidates.size(), most));
  standbys = std::move(candidates);
}

void PermitKeeper::SetLimits(std::span<const KnownLimit> limits, Common::TimePoint now)
{
  std::set<ServerKey> limited;
  std::ranges::transform(limits, std::inserter(limited, limited.end()), &KnownLimit::server);
  std::erase_if(m_buckets, [&](const auto& entry) {
    return !limited.contains(entry.first);
  });
  for (const KnownLimit& limit : limits)
  {
    const auto [found, is_new] = m_buckets.try_emplace(limit.server);
    Bucket& bucket = found->second;
    if (is_new)
      bucket.filled_at = now;
    bucket.Fill(now);
    bucket.rate = limit.rate;
    bucket.data_centre = limit.data_centre;
    bucket.level = std::min(bucket.level, bucket.Capacity());
  }
}

void PermitKeeper::Begin()
{
  m_buckets.clear();
  m_wanted_by.clear();
}

void PermitKeeper::TakeWants(const Asker& asker, std::span<const PermitWant> wants,
                             Common::TimePoint now)
{
  std::set<ServerKey> told;
  for (const PermitWant& want : wants)
  {
    told.insert(want.server);
    TakeWant(asker, want, now);
  }
  const std::set<ServerKey> before = std::exchange(m_wanted_by[asker.vm], told);
  for (const ServerKey server : before)
    if (const auto bucket = m_buckets.find(server);
        !told.contains(server) && bucket != m_buckets.end())
      if (const auto known = bucket->second.wants.find(asker.vm);
          known != bucket->second.wants.end())
        known->second.told = {server};
  ForgetSilent(now);
}

void PermitKeeper::TakeWant(const Asker& asker, const PermitWant& told, Common::TimePoint now)
{
  const auto found = m_buckets.find(told.server);
  if (found == m_buckets.end())
    return;
  Bucket& bucket = found->second;
  const bool is_new = !bucket.wants.contains(asker.vm);
  Want& want = bucket.wants[asker.vm];
  want = {told, asker.data_centre, now};
  want.told.gives_up_ms = std::clamp<std::int64_t>(told.gives_up_ms, 0, LONGEST_WAIT.count());
  if (told.count > 0)
    bucket.wait_told_at = now;
  if (told.may_probe)
    bucket.probe_told_at = now;
  bucket.Fill(now);
  bucket.level = std::min(bucket.level + told.unused, bucket.Capacity());
  m_totals.unused += told.unused;
  if (is_new)
    bucket.ChooseStandbys();
}

void PermitKeeper::ForgetSilent(Common::TimePoint now)
{
  if (now - m_looked_for_silent_at < LOOK_FOR_SILENT_EVERY)
    return;
  m_looked_for_silent_at = now;
  for (auto& [server, bucket] : m_buckets)
  {
    const auto forgotten = std::erase_if(bucket.wants, [now](const auto& entry) {
      return now - entry.second.told_at > STANDBY_ASKED_WITHIN;
    });
    if (forgotten > 0)
      bucket.ChooseStandbys();
  }
}

std::vector<Grant> PermitKeeper::HandOut(Common::TimePoint now)
{
  std::vector<Grant> grants;
  for (auto& [server, bucket] : m_buckets)
  {
    bucket.Fill(now);
    for (auto want = bucket.MostUrgent(now); bucket.level >= 1 && want != bucket.wants.end();
         want = bucket.MostUrgent(now))
    {
      bucket.level -= 1;
      bucket.granted_at = now;
      want->second.told.count -= want->second.told.count > 0 ? 1 : 0;
      ++m_totals.granted;
      const auto same = std::ranges::find_if(grants, [&](const Grant& grant) {
        return grant.vm == want->first && grant.server == server;
      });
      if (same == grants.end())
        grants.push_back({want->first, server, 1});
      else
        ++same->count;
    }
  }
  return grants;
}

std::optional<Common::TimePoint> PermitKeeper::NextAt(Common::TimePoint now) const
{
  std::optional<Common::TimePoint> next;
  for (const auto& [server, bucket] : m_buckets)
  {
    const bool anyone_waits = bucket.MayHaveWaiting(now);
    if (!anyone_waits && !bucket.MayHaveProbes(now))
      continue;
    const Seconds until_full(std::max((1 - bucket.level) / bucket.Flow(), 0.0));
    const auto full_at = bucket.filled_at + std::chrono::ceil<Milliseconds>(until_full);
    const auto at = anyone_waits ? full_at : std::max(full_at, bucket.ProbeDueAt());
    next = std::min(next.value_or(at), at);
  }
  return next;
}

std::uint32_t PermitKeeper::Waiting(ServerKey server, Common::TimePoint now) const
{
  std::uint32_t waiting = 0;
  if (const auto bucket = m_buckets.find(server); bucket != m_buckets.end())
    for (const auto& [vm, want] : bucket->second.wants)
      waiting += want.Waits(now) ? want.told.count : 0;
  return waiting;
}

Milliseconds PermitKeeper::FreeIn(ServerKey server, Common::TimePoint now) const
{
  const auto bucket = m_buckets.find(server);
  if (bucket == m_buckets.end())
    return std::chrono::ceil<Milliseconds>(Seconds(1 / LEAST_FLOW));
  const Seconds until_full((1 - bucket->second.level) / bucket->second.Flow());
  const auto full_at = bucket->second.filled_at + std::chrono::ceil<Milliseconds>(until_full);
  return std::max(std::chrono::ceil<Milliseconds>(full_at - now), Milliseconds(0));
}

std::uint32_t PermitKeeper::Ahead(const Common::VmId& vm, ServerKey server,
                                  Common::TimePoint now) const
{
  const auto bucket = m_buckets.find(server);
  if (bucket == m_buckets.end() || !bucket->second.wants.contains(vm))
    return 0;
  const auto rank = [](const Want& want) {
    return std::pair(want.told.priority, want.GivesUpAt());
  };
  const Want& own = bucket->second.wants.at(vm);
  std::uint32_t ahead = 0;
  for (const auto& [other, want] : bucket->second.wants)
    if (other != vm && want.Waits(now) && rank(want) < rank(own))
      ahead += want.told.count;
  return ahead;
}

std::vector<StandbyLine> PermitKeeper::StandbysOf(const Common::VmId& vm) const
{
  std::vector<StandbyLine> lines;
  for (const auto& [server, bucket] : m_buckets)
  {
    if (std::ranges::find(bucket.standbys, vm) == bucket.standbys.end())
      continue;
    const double part = bucket.Flow() * UNHEARD_SHARE / static_cast<double>(bucket.standbys.size());
    lines.push_back({server, RequestRate(static_cast<std::int64_t>(part * THOUSANDTHS))});
  }
  return lines;
}
} // namespace RateLimits
