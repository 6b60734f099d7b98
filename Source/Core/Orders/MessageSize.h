// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <vector>

#include "Orders/Messages.h"

/// Upper bounds of the encoded size of message parts. The size of a datagram is limited, while the
/// lists in a message grow with the system; each list is truncated to its share by these bounds.
namespace Orders
{
/// Maximum size of a datagram; the kernel fragments it into packets.
constexpr std::size_t MAX_DATAGRAM = 60000;
/// Share of a datagram for crash cases, enough for some 30 of them.
constexpr std::size_t CRASH_BYTES = 7500;

std::size_t EncodedSizeBound(const Fleet::RowChange& row);
std::size_t EncodedSizeBound(const PlacementLine& line);
std::size_t EncodedSizeBound(const DemandLine& line);
std::size_t EncodedSizeBound(const LoadLine& line);

/// Truncates a report to the size of a datagram, as a longer one could not be sent at all. The
/// servers with the least load and the artifacts with the fewest waiting requests are dropped
/// first.
void TruncateToDatagram(DaemonReport& report);
/// Truncates a request for permits to the size of a datagram; what is dropped is sent later. The
/// newest limit observations and the largest requests for permits are kept.
void TruncateToDatagram(PermitRequest& request);
} // namespace Orders
