// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <vector>

#include "Orders/Messages.h"

/// How many bytes the parts of a message take at most once encoded. Datagrams have a limit, what
/// grows with the system has none: each list in a message is cut to its room by these.
namespace Orders
{
/// A datagram is at most so long; the kernel cuts it into packets.
constexpr std::size_t MAX_DATAGRAM = 60000;
/// What requests that end servers may take of it: some 30 of them.
constexpr std::size_t CRASH_BYTES = 7500;

std::size_t BytesOf(const RowChange& row);
std::size_t BytesOf(const PlacementLine& line);
std::size_t BytesOf(const DemandLine& line);
std::size_t BytesOf(const LoadLine& line);

/// Cuts a report to what a datagram holds: of the servers the least loaded go, of the artifacts
/// those for which fewest wait. What is cut would otherwise take the whole report with it.
void FitDatagram(DaemonReport& report);
/// What is cut is asked for later: of the limits the newest news stay, of the wants the largest.
void FitDatagram(PermitAsk& ask);
} // namespace Orders
