// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <concepts>
#include <cstdint>

#include "Common/Units.h"

namespace Decisions
{
/// How a loaded artifact has been used.
struct ArtifactUse
{
  Common::Milliseconds idle{0};
  Common::Milliseconds loaded_for{0};
  std::int64_t served = 0;
  Common::Milliseconds load_time{0}; ///< What loading it again would take.
  std::int64_t weight = 1;
};

/// Decides whether an idle artifact is unloaded now.
template <typename T>
concept RetentionPolicy = requires(const T policy, ArtifactUse use)
{
  {
    policy.ShouldUnload(use)
    } -> std::same_as<bool>;
};

/// Keeps an artifact while its idle time has cost less than loading it again would (the ski-rental
/// rule, within twice the optimum for any arrivals), and gives up earlier where its own arrivals
/// say that it will not be wanted before that. `exchange_rate` from the table: how many idle
/// milliseconds one millisecond of cold start is worth.
class CostRetention
{
public:
  explicit CostRetention(double exchange_rate) : m_exchange_rate(exchange_rate) {}
  bool ShouldUnload(const ArtifactUse& use) const;

private:
  double m_exchange_rate;
};

/// The baseline: a fixed time to keep alive.
class FixedKeepAlive
{
public:
  explicit FixedKeepAlive(Common::Milliseconds keep_alive) : m_keep_alive(keep_alive) {}
  bool ShouldUnload(const ArtifactUse& use) const;

private:
  Common::Milliseconds m_keep_alive;
};

static_assert(RetentionPolicy<CostRetention>);
static_assert(RetentionPolicy<FixedKeepAlive>);
} // namespace Decisions
