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

/// An artifact in the memory of a backend server, as reported by the server.
struct ReportedArtifact
{
  Common::ArtifactId id;
  ArtifactState state = ArtifactState::Loading;
  std::int64_t running = 0;
  std::int64_t served = 0; ///< Requests since the artifact was loaded.
  Common::Milliseconds idle{0};
  Common::Milliseconds age{0}; ///< Time since the artifact was loaded.
};

/// The state of a backend server as reported by itself. The artifacts are current, but the counts
/// of running requests lag behind.
struct BackendReport
{
  Common::VmId vm;
  Common::Incarnation incarnation;
  Common::MegaBytes capacity;
  bool checks_fencing = false;
  Common::FencingNumber fence;
  bool ready = false;
  std::int64_t running = 0;
  std::int64_t max_running = 0;
  std::vector<ReportedArtifact> artifacts;
  std::vector<Common::ArtifactId> on_disk;
  std::vector<Common::ArtifactId> in_memory;
};

enum class OrderKind
{
  Load,
  Unload,
  RaiseFence, ///< Only raises the server's fencing number.
};

/// An order to one instance of a backend server. A server that checks fencing numbers rejects an
/// order whose number is older than one that it has seen.
struct BackendOrder
{
  OrderKind kind = OrderKind::Load;
  Common::ArtifactId artifact;
  Common::ArtifactId base;
  Common::MegaBytes memory;
  Common::FencingNumber fence;
  Common::Incarnation incarnation;
  Common::ClaimId claim;
};

/// Client of a backend server. To support another kind of model server, add a class that satisfies
/// this concept. `Order` completes when the server has carried out the order. After NotSent and
/// Refused the order has no effect; after Timeout and OutcomeUnknown it may have one.
template <typename T>
concept BackendClient = requires(T client, std::string address, BackendOrder order,
                                 Common::Milliseconds timeout)
{
  {
    client.Report(address)
    } -> std::same_as<Common::Task<Common::Result<BackendReport>>>;
  {
    client.Order(address, order, timeout)
    } -> std::same_as<Common::Task<Common::Result<Common::Done>>>;
};
} // namespace BackendServers
