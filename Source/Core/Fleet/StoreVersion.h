// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>

/// The platform's store counts its transactions. If it comes back from an older copy, it gives the
/// same numbers out again, in a new **era**. A version, of a row or of a table, has the era in its
/// upper bits, so that versions rise over eras: whatever was read in a later era is newer.
namespace Fleet
{
/// Bits of a version that hold the store's own number. Versions stay exact as JSON numbers.
constexpr int STORE_NUMBER_BITS = 38;
constexpr std::int64_t MAX_STORE_NUMBER = (std::int64_t{1} << STORE_NUMBER_BITS) - 1;
constexpr std::int64_t MAX_STORE_ERA = (std::int64_t{1} << 15) - 1;

/// The store's own number of a row that does not exist.
constexpr std::int64_t ABSENT_ROW = 0;

/// The version with the store's own number `number` in `era`.
constexpr std::int64_t VersionIn(std::int64_t era, std::int64_t number)
{
  return (era << STORE_NUMBER_BITS) | (number & MAX_STORE_NUMBER);
}

/// The era of the store in which the version was read.
constexpr std::int64_t EraOf(std::int64_t version)
{
  return version >> STORE_NUMBER_BITS;
}

/// The store's own number for the version; 0 if the version stands for an absent row.
constexpr std::int64_t StoreNumber(std::int64_t version)
{
  return version & MAX_STORE_NUMBER;
}
} // namespace Fleet
