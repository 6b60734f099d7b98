// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <string_view>

#include "Common/Failure.h"

/// Compression of what daemons send each other, by Zstandard. A dictionary that both sides have
/// makes the new version of a known text short: what it shares with the old one is only referred
/// to, however far apart the two places lie.
namespace Common
{
std::string Compress(std::string_view bytes, std::string_view dictionary);

/// Fails with Protocol where the bytes are not a whole compressed text, need another dictionary, or
/// become longer than `max_size`.
Result<std::string> Decompress(std::string_view packed, std::string_view dictionary,
                               std::size_t max_size);
} // namespace Common
