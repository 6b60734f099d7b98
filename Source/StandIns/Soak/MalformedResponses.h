// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>

namespace Soak
{
/// A success to the request, with a server's stamp, that is not well-formed in a random way. No
/// caller may get it.
std::string DrawMalformedResponse(const std::string& id);
} // namespace Soak
