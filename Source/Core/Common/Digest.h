// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>

namespace Common
{
/// Returns the SHA-256 digest of `text` as 64 hexadecimal digits.
std::string Sha256Hex(const std::string& text);
} // namespace Common
