// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <string_view>

#include "Common/Failure.h"

/// Zstandard compression of the messages between daemons. With the old version of a text as the
/// dictionary on both sides, its new version compresses well: matching parts are encoded as
/// references, however far apart their positions are.
namespace Common
{
std::string Compress(std::string_view bytes, std::string_view dictionary);

/// Fails with Protocol if the input is not a complete compressed text, needs another dictionary, or
/// decompresses to more than `max_size` bytes.
Result<std::string> Decompress(std::string_view compressed, std::string_view dictionary,
                               std::size_t max_size);
} // namespace Common
