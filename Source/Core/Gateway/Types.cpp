// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Types.h"

#include <bit>

#include <xxhash.h>

namespace Gateway
{
RateLimits::ServerKey KeyOf(const InstanceId& instance)
{
  // The start time is the seed, so that instances of a server have different keys.
  const std::uint64_t hash =
      XXH3_64bits_withSeed(instance.Get().data(), instance.Get().size(),
                           static_cast<XXH64_hash_t>(instance.Started().Get()));
  return RateLimits::ServerKey(std::bit_cast<std::int64_t>(hash));
}

Common::Milliseconds ModelSpec::LoadTime(Decisions::WeightSource source) const
{
  switch (source)
  {
  case Decisions::WeightSource::HostMemory:
    return load_from_host_memory;
  case Decisions::WeightSource::Disk:
    return load_from_disk;
  case Decisions::WeightSource::WeightStore:
    break;
  }
  return load_from_store;
}

bool Route::IsRepeatable() const
{
  switch (repeatability)
  {
  case Repeatability::Idempotent:
    return true;
  case Repeatability::Streaming:
    return resumable;
  case Repeatability::NonIdempotent:
    break;
  }
  return false;
}

const ModelSpec* Pool::FindModel(const ModelId& model) const
{
  if (!model_server)
    return nullptr;
  const auto found = model_server->models.find(model);
  return found == model_server->models.end() ? nullptr : &found->second;
}

const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const
{
  const Route* best = nullptr;
  for (const Route& route : routes)
  {
    if (!Http::EqualIgnoringCase(route.host, host) || !path.starts_with(route.path_prefix))
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

std::vector<std::string> Configuration::Warnings() const
{
  std::vector<std::string> warnings;
  for (const Route& route : routes)
    if (route.resumable && route.repeatability != Repeatability::Streaming)
      warnings.push_back("route " + route.name +
                         ": resumable has no effect, since the route is no stream");
  return warnings;
}
} // namespace Gateway
