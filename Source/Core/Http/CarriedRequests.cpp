// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/CarriedRequests.h"

#include <xxhash.h>

namespace Http
{
RequestId::RequestId(std::string_view id)
    : m_hash(XXH64(id.data(), id.size(), 0)), m_is_empty(id.empty())
{
}
} // namespace Http
