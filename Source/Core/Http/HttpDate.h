// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace Http
{
/// Parses the date of an HTTP header (RFC 9110, section 5.6.7); nullopt where it is invalid.
std::optional<std::chrono::system_clock::time_point> ParseHttpDate(const std::string& text);
} // namespace Http
