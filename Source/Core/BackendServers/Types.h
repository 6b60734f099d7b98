// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Common/Task.h"
#include "Common/Units.h"

namespace BackendServers
{
enum class ArtifactState
{
  Loading,
  Loaded,
  Unloading,
};

/// One artifact in an engine's memory, as the engine reports it.
struct LoadedArtifact
{
  Common::ArtifactId id;
  ArtifactState state = ArtifactState::Loading;
  std::int64_t running = 0;
  std::int64_t served = 0; ///< Requests since it was loaded.
  Common::Milliseconds idle{0};
  Common::Milliseconds age{0}; ///< Since it was loaded.
};

/// What an engine says of itself. Artifacts are current; `running` lags.
struct EngineReport
{
  Common::VmId vm;
  Common::Incarnation incarnation;
  Common::MegaBytes capacity;
  bool checks_fencing = false;
  Common::FencingNumber fence;
  bool ready = false;
  std::int64_t running = 0;
  std::int64_t max_running = 0;
  std::vector<LoadedArtifact> artifacts;
  std::vector<Common::ArtifactId> on_disk;
  std::vector<Common::ArtifactId> in_memory;
};

enum class OrderKind
{
  Load,
  Unload,
  RaiseFence, ///< Changes nothing but the engine's fencing number.
};

/// An order to one incarnation of an engine. Engines that check refuse an older fencing number.
struct EngineOrder
{
  OrderKind kind = OrderKind::Load;
  Common::ArtifactId artifact;
  Common::ArtifactId base;
  Common::MegaBytes memory;
  Common::FencingNumber fence;
  Common::Incarnation incarnation;
  Common::ClaimId claim;
};

/// What drumpond needs of a model engine. Another engine is one new class with these calls.
/// `Order` answers when it has been carried out. Failures: NotSent and Refused say that it has no
/// effect; Timeout and OutcomeUnknown leave that open.
template <typename T>
concept EngineClient = requires(T client, std::string address, EngineOrder order,
                                Common::Milliseconds timeout)
{
  {
    client.Report(address)
    } -> std::same_as<Common::Task<Common::Result<EngineReport>>>;
  {
    client.Order(address, order, timeout)
    } -> std::same_as<Common::Task<Common::Result<Common::Done>>>;
};
} // namespace BackendServers
