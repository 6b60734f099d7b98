// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/MessageSize.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"

namespace Orders
{
namespace
{
/// Length prefix of a text of up to 16,383 bytes.
constexpr std::size_t LENGTH_BYTES = 2;
/// A variable-length integer of up to 35 bits in groups of seven, as used for the counts in these
/// messages.
constexpr std::size_t COUNT_BYTES = 5;
/// A version or a time of any magnitude.
constexpr std::size_t NUMBER_BYTES = 10;
/// Names, sequence, table versions and flags in a daemon's report.
constexpr std::size_t REPORT_HEADER_BYTES = 1000;

template <typename Id>
std::size_t EncodedTextSizeBound(const Id& id)
{
  return id.Get().size() + LENGTH_BYTES;
}

std::size_t EncodedSizeBound(const Gateway::Artifact& artifact)
{
  return EncodedTextSizeBound(artifact.model) + EncodedTextSizeBound(artifact.adapter);
}

std::size_t EncodedSizeBound(const Gateway::PlacementConstraint& constraint)
{
  std::size_t bytes = 2 * COUNT_BYTES;
  for (const Gateway::SoftwareVersion& version : constraint.versions)
    bytes += EncodedTextSizeBound(version);
  for (const Common::RegionId& region : constraint.regions)
    bytes += EncodedTextSizeBound(region);
  return bytes;
}

/// Allowances get this fraction (1/N) of the space in a report, enough for some 400 accounts.
constexpr std::size_t ALLOWANCE_DIVISOR = 4;
/// Maximum number of servers that a message identifies only by a number.
constexpr std::size_t MAX_LISTED_SERVERS = 250;

std::size_t EncodedSizeBound(const Accounts::AllowanceLine& line)
{
  return EncodedTextSizeBound(line.account) + 2 * NUMBER_BYTES + 2 * COUNT_BYTES;
}

std::size_t EncodedSizeBound(const RateLimits::LimitObservation&)
{
  return 2 * NUMBER_BYTES + 2 * COUNT_BYTES;
}

std::size_t EncodedSizeBound(const RateLimits::PermitDemand&)
{
  return NUMBER_BYTES + 4 * COUNT_BYTES + 1;
}

std::size_t EncodedSizeBound(const RateLimits::HeldPlaces&)
{
  return NUMBER_BYTES + COUNT_BYTES;
}

std::size_t EncodedSizeBound(const RateLimits::PlaceDemand& demand)
{
  return (2 + demand.servers.size()) * NUMBER_BYTES + 3 * COUNT_BYTES;
}

/// Keeps the first lines that fit into `max_bytes`.
template <typename Line>
void TruncateTo(std::vector<Line>& lines, std::size_t max_bytes, const char* what)
{
  std::size_t bytes = 0;
  const auto end = std::ranges::find_if(lines, [&](const Line& line) {
    bytes += EncodedSizeBound(line);
    return bytes > max_bytes;
  });
  if (end == lines.end())
    return;
  Common::LogEvent(
      Common::LogLevel::Warning, "report-cut",
      {{"lines", what}, {"kept", std::distance(lines.begin(), end)}, {"of", lines.size()}});
  lines.erase(end, lines.end());
}
} // namespace

std::size_t EncodedSizeBound(const Fleet::RowChange& row)
{
  return row.key.size() + LENGTH_BYTES + 2 * NUMBER_BYTES + 1 + row.packed.size() + COUNT_BYTES;
}

std::size_t EncodedSizeBound(const PlacementLine& line)
{
  std::size_t bytes = EncodedTextSizeBound(line.instance) + 3 * LENGTH_BYTES;
  for (const Gateway::Artifact& adapter : line.adapters)
    bytes += EncodedSizeBound(adapter);
  for (const Gateway::ModelId& model : line.unloading)
    bytes += EncodedTextSizeBound(model);
  for (const Gateway::ModelId& model : line.loading)
    bytes += EncodedTextSizeBound(model);
  return bytes;
}

std::size_t EncodedSizeBound(const DemandLine& line)
{
  return EncodedTextSizeBound(line.pool) + EncodedSizeBound(line.artifact) + 3 * COUNT_BYTES +
         NUMBER_BYTES + EncodedSizeBound(line.constraint);
}

std::size_t EncodedSizeBound(const LoadLine& line)
{
  std::size_t bytes = EncodedTextSizeBound(line.instance) + COUNT_BYTES + LENGTH_BYTES;
  for (const auto& [model, count] : line.by_model)
    bytes += EncodedTextSizeBound(model) + COUNT_BYTES;
  return bytes;
}

void TruncateToDatagram(DaemonReport& report)
{
  std::size_t bytes_left = MAX_DATAGRAM - REPORT_HEADER_BYTES;
  std::ranges::stable_sort(report.allowances, std::ranges::greater(),
                           &Accounts::AllowanceLine::wanted);
  TruncateTo(report.allowances, bytes_left / ALLOWANCE_DIVISOR, "allowances");
  bytes_left -= bytes_left / ALLOWANCE_DIVISOR;
  std::ranges::stable_sort(report.demand, std::ranges::greater(), &DemandLine::waiting);
  // The crash cases were limited to `CRASH_BYTES` when the report was made.
  bytes_left -= CRASH_BYTES;
  report.backing_off.resize(std::min(report.backing_off.size(), MAX_LISTED_SERVERS));
  bytes_left -= report.backing_off.size() * sizeof(ServerHash);
  TruncateTo(report.demand, bytes_left / 2, "demand");
  std::ranges::stable_sort(report.loads, std::ranges::greater(), &LoadLine::in_flight);
  TruncateTo(report.loads, bytes_left / 2, "loads");
}

void TruncateToDatagram(PermitRequest& request)
{
  constexpr std::size_t LISTS = 5;
  const std::size_t bytes_per_list = (MAX_DATAGRAM - REPORT_HEADER_BYTES) / LISTS;
  std::ranges::stable_sort(request.observations, {}, &RateLimits::LimitObservation::age_ms);
  TruncateTo(request.observations, bytes_per_list, "limits");
  std::ranges::stable_sort(request.demands, std::ranges::greater(),
                           &RateLimits::PermitDemand::count);
  TruncateTo(request.demands, bytes_per_list, "wants");
  TruncateTo(request.rejection_bounds, bytes_per_list, "rejection bounds");
  TruncateTo(request.places.held, bytes_per_list, "held places");
  TruncateTo(request.places.demands, bytes_per_list, "demands for places");
  request.draining.resize(std::min(request.draining.size(), MAX_LISTED_SERVERS));
}
} // namespace Orders
