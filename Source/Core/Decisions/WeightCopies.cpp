// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/WeightCopies.h"

#include <algorithm>

namespace Decisions
{
void WeightCopies::Set(ServerIndex server, std::vector<ModelIndex> in_host_memory,
                       std::vector<ModelIndex> on_disk)
{
  if (m_by_server.size() <= At(server))
    m_by_server.resize(At(server) + 1);
  for (const ModelIndex model : m_by_server[At(server)])
    Remove(server, model);
  m_by_server[At(server)].clear();
  for (const ModelIndex model : in_host_memory)
    Add(server, model, WeightSource::HostMemory);
  for (const ModelIndex model : on_disk)
    Add(server, model, WeightSource::Disk);
}

std::span<const WeightCopy> WeightCopies::Of(ModelIndex model) const
{
  if (At(model) >= m_by_model.size())
    return {};
  return m_by_model[At(model)];
}

WeightSource WeightCopies::SourceOn(ServerIndex server, ModelIndex model) const
{
  const auto copies = Of(model);
  const auto found = std::ranges::find(copies, server, &WeightCopy::server);
  return found == copies.end() ? WeightSource::WeightStore : found->source;
}

void WeightCopies::Clear()
{
  m_by_model.clear();
  m_by_server.clear();
}

void WeightCopies::Remove(ServerIndex server, ModelIndex model)
{
  std::erase_if(m_by_model[At(model)], [&](const WeightCopy& copy) {
    return copy.server == server;
  });
}

void WeightCopies::Add(ServerIndex server, ModelIndex model, WeightSource source)
{
  if (m_by_model.size() <= At(model))
    m_by_model.resize(At(model) + 1);
  std::vector<WeightCopy>& copies = m_by_model[At(model)];
  if (std::ranges::find(copies, server, &WeightCopy::server) != copies.end())
    return;
  copies.push_back({server, source});
  m_by_server[At(server)].push_back(model);
}
} // namespace Decisions
