// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Daemons/Codec.h"
#include "Gateway/Types.h"

/// What daemons and the holder of the order lease tell each other, by datagrams. All of it is soft
/// state: a lost datagram is made good by the next one.
namespace Orders
{
/// Requests that wait, or came lately, for one artifact at one daemon.
struct DemandLine
{
  Gateway::PoolId pool;
  Gateway::Artifact artifact;
  std::int32_t waiting = 0;
  std::int32_t priority = 9;
  std::int64_t oldest_wait_ms = 0;
  std::int32_t arrivals = 0; ///< Since the report before.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(pool, artifact, waiting, priority, oldest_wait_ms, arrivals);
  }
};

/// One daemon's open requests at one backend server.
struct LoadLine
{
  Gateway::InstanceId instance;
  std::int32_t in_flight = 0;
  std::map<Gateway::ModelId, std::int32_t> by_model;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(instance, in_flight, by_model);
  }
};

/// From a daemon to the holder.
struct DaemonReport
{
  Common::VmId vm;
  Common::Incarnation run;
  std::uint64_t sequence = 0; ///< Rises within a run; older reports are dropped.
  std::vector<DemandLine> demand;
  std::vector<LoadLine> loads;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, run, sequence, demand, loads);
  }
};

/// What the holder knows of one backend server beyond its entry in the platform.
struct PlacementLine
{
  Gateway::InstanceId instance;
  std::int32_t in_flight_elsewhere = 0; ///< Open requests of all daemons but the receiver.
  std::vector<Gateway::Artifact> adapters;  ///< Loaded.
  std::vector<Gateway::ModelId> leaving;    ///< About to be unloaded: no new requests.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(instance, in_flight_elsewhere, adapters, leaving);
  }
};

/// From the holder to a daemon.
struct HolderReport
{
  Common::VmId vm;
  std::int64_t fence = 0; ///< Of the lease; a lower one is an older holder's.
  std::uint64_t sequence = 0;
  std::int32_t daemons = 1; ///< That report to the holder, itself included.
  std::vector<PlacementLine> placements;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, fence, sequence, daemons, placements);
  }
};

/// A datagram holds one of these.
struct Envelope
{
  std::vector<DaemonReport> from_daemon; ///< One, or none.
  std::vector<HolderReport> from_holder;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from_daemon, from_holder);
  }
};
} // namespace Orders
