// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string_view>

namespace Common
{
/// Parses a decimal number without sign or exponent; trailing blanks are allowed. Returns infinity
/// if the number is out of range for a double.
std::optional<double> ParseDecimal(std::string_view text);
} // namespace Common
