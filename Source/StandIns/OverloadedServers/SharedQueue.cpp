// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/OverloadedServers/SharedQueue.h"

#include <algorithm>
#include <iterator>

namespace OverloadedServers
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;

struct Slot
{
  TimePoint free_at;
  Milliseconds work;
};
} // namespace

std::vector<Milliseconds> ResponseTimesInOneQueue(const std::vector<TimePoint>& arrivals,
                                                  const std::vector<Milliseconds>& slots)
{
  std::vector<Slot> state;
  std::ranges::transform(slots, std::back_inserter(state), [](Milliseconds work) {
    return Slot{TimePoint(), work};
  });
  std::vector<Milliseconds> times;
  std::ranges::transform(arrivals, std::back_inserter(times), [&](TimePoint arrival) {
    Slot& slot = *std::ranges::min_element(state, {}, &Slot::free_at);
    slot.free_at = std::max(slot.free_at, arrival) + slot.work;
    return std::chrono::duration_cast<Milliseconds>(slot.free_at - arrival);
  });
  return times;
}
} // namespace OverloadedServers
