// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <map>

namespace Gateway
{
class Relay;

/// Bounds the memory for responses that this daemon keeps until it can forward them: complete
/// bodies, and the part of an event that has been received. A broken server may send without end,
/// and several may do so at the same time.
class ResponseMemory
{
public:
  /// The most bytes of one response, of one event, and of all responses together. The smallest VMs
  /// have 160 MB, and a buffer that grows briefly needs twice its size.
  static constexpr std::size_t MAX_RESPONSE_BYTES = 8U << 20U;
  static constexpr std::size_t MAX_EVENT_BYTES = 1U << 20U;
  static constexpr std::size_t MAX_TOTAL_BYTES = 16U << 20U;

  /// Sets how many bytes are kept for the request; 0 when it ends.
  void Set(Relay* relay, std::size_t bytes);
  std::size_t Total() const { return m_total; }
  bool IsExceeded() const { return m_total > MAX_TOTAL_BYTES; }
  /// The request with the most bytes; nullptr if there is none.
  Relay* Largest() const;

private:
  std::map<Relay*, std::size_t> m_bytes;
  std::size_t m_total = 0;
};
} // namespace Gateway
