// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <lua.hpp>

#include "Common/Json.h"

namespace ScenarioRunner
{
/// Pushes a JSON value as a Lua value; null becomes nil.
void PushJson(lua_State* lua, const Common::Json& value);

/// The Lua value at `index` as JSON. A table with entries 1..n is an array, an empty one an object
/// unless it carries the field `__array`.
Common::Json ToJson(lua_State* lua, int index);
} // namespace ScenarioRunner
