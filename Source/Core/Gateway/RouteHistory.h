// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string_view>

#include "Common/Units.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// Where requests have gone, as far as this daemon has known the configurations: operators move
/// routes to other pools while streams run that callers resume later.
class RouteHistory
{
public:
  /// Records that the configuration is in force from now on.
  void Note(std::shared_ptr<const Configuration> configuration, Common::TimePoint now);
  /// The pools that requests for the path may have gone to within the retention time of streams.
  std::set<PoolId> RecentPools(std::string_view host, std::string_view path,
                               Common::TimePoint now) const;

private:
  struct Former
  {
    Configuration routes; ///< Nothing but its routes.
    Common::TimePoint replaced_at;
  };

  std::shared_ptr<const Configuration> m_current;
  std::deque<Former> m_former; ///< Oldest first.
};
} // namespace Gateway
