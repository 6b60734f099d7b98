// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <lua.hpp>

#include "Common/Json.h"

namespace ScenarioRunner
{
/// Pushes a JSON value as a Lua value; null becomes nil.
void PushJson(lua_State* lua, const Common::Json& value);

/// Converts the Lua value at `index` to JSON. A table with entries 1..n becomes an array; its other
/// keys are dropped. An empty table becomes an object, unless it has the field `__array`. A value
/// of another type becomes null.
Common::Json ToJson(lua_State* lua, int index);
} // namespace ScenarioRunner
