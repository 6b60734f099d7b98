// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Where the weights of models lie, as an index by model and by server.
namespace Decisions
{
/// A model's position in `ReplicaPlanInput::models`.
enum class ModelIndex : std::uint32_t
{
};
/// A server's position in `ReplicaPlanInput::servers`.
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

/// Where the weights of a model lie, seen from one server; loading takes longer down the list.
enum class WeightSource : std::uint8_t
{
  HostMemory,
  Disk,
  WeightStore,
};

/// A copy of one model's weights near one server.
struct WeightCopy
{
  ServerIndex server{};
  WeightSource source = WeightSource::Disk;
};

/// The copies of weights near servers. A change of one server costs by its own copies, a look-up of
/// a model by the few servers that have one: a plan need not look at all servers for each model.
class WeightCopies
{
public:
  /// What lies near one server, in place of what was told before. A model in both lists counts as
  /// in host memory.
  void Set(ServerIndex server, std::vector<ModelIndex> in_host_memory,
           std::vector<ModelIndex> on_disk);
  /// Servers with a copy of the model, in no order.
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
