// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// An index, by model and by server, of where copies of model weights are stored.
namespace Decisions
{
/// Index of a model in `ReplicaPlanInput::models`.
enum class ModelIndex : std::uint32_t
{
};
/// Index of a server in `ReplicaPlanInput::servers`.
enum class ServerIndex : std::uint32_t
{
};
constexpr std::size_t At(ModelIndex model)
{
  return static_cast<std::size_t>(model);
}
constexpr std::size_t At(ServerIndex server)
{
  return static_cast<std::size_t>(server);
}

/// Where a server can load the weights of a model from, fastest first.
enum class WeightSource : std::uint8_t
{
  HostMemory,
  Disk,
  WeightStore,
};

/// A copy of a model's weights in the memory or on the disk of a server.
struct WeightCopy
{
  ServerIndex server{};
  WeightSource source = WeightSource::Disk;
};

/// The copies of weights on all servers. Updating a server costs time in proportion to its copies,
/// and looking up a model in proportion to the few servers that have a copy, so the planner need
/// not scan all servers for each model.
class WeightCopies
{
public:
  /// Replaces the copies of one server. A model in both lists counts as in host memory.
  void Set(ServerIndex server, std::vector<ModelIndex> in_host_memory,
           std::vector<ModelIndex> on_disk);
  /// Servers with a copy of the model, in no particular order.
  std::span<const WeightCopy> Of(ModelIndex model) const;
  WeightSource SourceOn(ServerIndex server, ModelIndex model) const;
  void Clear();

private:
  void Remove(ServerIndex server, ModelIndex model);
  void Add(ServerIndex server, ModelIndex model, WeightSource source);

  std::vector<std::vector<WeightCopy>> m_by_model;
  std::vector<std::vector<ModelIndex>> m_by_server;
};
} // namespace Decisions
