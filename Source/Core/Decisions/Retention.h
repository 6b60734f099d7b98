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
  Common::Milliseconds load_time{0}; ///< Time to load it again.
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

/// Keeps an artifact until its idle time has cost as much as loading it again (the ski-rental rule,
/// which costs at most twice the optimum for any arrival sequence), and unloads it earlier if its
/// own arrival rate indicates that it will not be requested before that. `exchange_rate`, from the
/// configuration table, is the number of idle milliseconds that equal one millisecond of cold
/// start.
class CostRetention
{
public:
  explicit CostRetention(double exchange_rate) : m_exchange_rate(exchange_rate) {}
  bool ShouldUnload(const ArtifactUse& use) const;

private:
  double m_exchange_rate;
};

/// Baseline policy: a fixed keep-alive time.
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
