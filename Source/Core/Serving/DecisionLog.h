// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "Common/Json.h"

namespace Serving
{
/// Ring buffer of the most recent decisions of this daemon, for `drumpond explain`.
class DecisionLog
{
public:
  /// Records a decision. `keys` are the ids of the request, artifact and server it concerns.
  void Add(std::string_view decision, const std::vector<std::string>& keys, Common::Json figures);
  /// Returns all recorded decisions that concern `key`, oldest first.
  Common::Json Find(const std::string& key) const;

private:
  struct Entry
  {
    std::string decision;
    std::vector<std::string> keys;
    std::int64_t at_ms = 0;
    Common::Json figures;
  };

  std::deque<Entry> m_entries;
};
} // namespace Serving
