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

/// Counts also the time in which the VM is suspended, which the steady clock leaves out: a lease, a
/// proof or a deadline of before would be believed for as long again.
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

/// A text identifier that cannot be mixed up with one of another kind.
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

/// A whole number with a unit; arithmetic stays inside the unit.
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
/// What a backend server can load: a model version `model@version`, or an adapter of one.
using ArtifactId = StrongId<struct ArtifactIdTag>;
/// One claim on a replica slot and on memory; unique for ever.
using ClaimId = StrongId<struct ClaimIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// One run of a process on a VM; a restart gives another.
using Incarnation = StrongId<struct IncarnationTag>;
/// A calling service, as the operators' table names it.
using ServiceId = StrongId<struct ServiceIdTag>;

using MegaBytes = Quantity<struct MegaBytesTag>;
/// The number that orders commands to one backend server; higher is newer.
using FencingNumber = Quantity<struct FencingNumberTag>;
/// The revision of the operators' table; each accepted change adds one.
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
