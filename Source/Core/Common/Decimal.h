// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string_view>

namespace Common
{
/// A decimal number without sign or exponent; blanks may follow it. Infinite where it is larger
/// than a double holds.
std::optional<double> ParseDecimal(std::string_view text);
} // namespace Common
