// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Common
{
using Milliseconds = std::chrono::milliseconds;

/// Monotonic clock that includes the time during which the VM is suspended. std::steady_clock does
/// not, and would extend the validity of a lease, a proof or a deadline by the suspension.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};
using TimePoint = BootClock::time_point;

/// A string identifier with a distinct type for each kind.
template <typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  const std::string& Get() const { return m_value; }
  bool Empty() const { return m_value.empty(); }
  auto operator<=>(const StrongId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(m_value);
  }

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id)
  {
    return out << id.m_value;
  }

private:
  std::string m_value;
};

/// An integer with a unit. Arithmetic is only possible within the same unit.
template <typename Tag>
class Quantity
{
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t value) : m_value(value) {}

  constexpr std::int64_t Get() const { return m_value; }
  constexpr auto operator<=>(const Quantity&) const = default;
  constexpr Quantity operator+(Quantity other) const { return Quantity(m_value + other.m_value); }
  constexpr Quantity operator-(Quantity other) const { return Quantity(m_value - other.m_value); }
  constexpr Quantity& operator+=(Quantity other)
  {
    m_value += other.m_value;
    return *this;
  }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(m_value);
  }

  friend std::ostream& operator<<(std::ostream& out, Quantity quantity)
  {
    return out << quantity.m_value;
  }

private:
  std::int64_t m_value = 0;
};

/// A virtual machine of the platform: an entry VM or a backend server.
using VmId = StrongId<struct VmIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
/// A group of data centres that are near each other.
using RegionId = StrongId<struct RegionIdTag>;
/// An artifact that a backend server can load: a model version `model@version`, or an adapter of
/// one.
using ArtifactId = StrongId<struct ArtifactIdTag>;
/// A claim on a replica slot and on memory. Ids are never reused.
using ClaimId = StrongId<struct ClaimIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// One start of a process on a VM; each restart creates a new one.
using Incarnation = StrongId<struct IncarnationTag>;
/// A calling service, as named in the operators' table.
using ServiceId = StrongId<struct ServiceIdTag>;

using MegaBytes = Quantity<struct MegaBytesTag>;
/// Fencing token that orders the commands to a backend server; higher is newer.
using FencingNumber = Quantity<struct FencingNumberTag>;
/// Revision of the operators' table, incremented by each accepted change.
using Revision = Quantity<struct RevisionTag>;
} // namespace Common

template <typename Tag>
struct std::hash<Common::StrongId<Tag>>
{
  std::size_t operator()(const Common::StrongId<Tag>& id) const noexcept
  {
    return std::hash<std::string>{}(id.Get());
  }
};
