// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ResponseMemory.h"

#include <algorithm>

namespace Gateway
{
void ResponseMemory::Set(Relay* relay, std::size_t bytes)
{
  const auto found = m_bytes.find(relay);
  if (found == m_bytes.end() && bytes == 0)
    return;
  std::size_t& known = found == m_bytes.end() ? m_bytes[relay] : found->second;
  m_total += bytes - known;
  known = bytes;
  if (bytes == 0)
    m_bytes.erase(relay);
}

Relay* ResponseMemory::Largest() const
{
  const auto largest = std::ranges::max_element(m_bytes, {}, [](const auto& entry) {
    return entry.second;
  });
  return largest == m_bytes.end() ? nullptr : largest->first;
}
} // namespace Gateway
