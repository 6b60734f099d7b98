// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "ScenarioRunner/LuaJson.h"

namespace ScenarioRunner
{
using Common::Json;

void PushJson(lua_State* lua, const Json& value)
{
  luaL_checkstack(lua, 8, "JSON is nested too deeply");
  switch (value.type())
  {
  case Json::value_t::boolean:
    lua_pushboolean(lua, value.get<bool>());
    return;
  case Json::value_t::number_integer:
  case Json::value_t::number_unsigned:
    lua_pushinteger(lua, value.get<lua_Integer>());
    return;
  case Json::value_t::number_float:
    lua_pushnumber(lua, value.get<double>());
    return;
  case Json::value_t::string:
    lua_pushstring(lua, value.get_ref<const std::string&>().c_str());
    return;
  case Json::value_t::array:
    lua_newtable(lua);
    for (std::size_t index = 0; index < value.size(); ++index)
    {
      PushJson(lua, value[index]);
      lua_rawseti(lua, -2, static_cast<lua_Integer>(index) + 1);
    }
    return;
  case Json::value_t::object:
    lua_newtable(lua);
    for (const auto& [key, member] : value.items())
    {
      PushJson(lua, member);
      lua_setfield(lua, -2, key.c_str());
    }
    return;
  default:
    lua_pushnil(lua);
  }
}

namespace
{
Json TableToJson(lua_State* lua, int index)
{
  const bool marked = lua_getfield(lua, index, "__array") != LUA_TNIL;
  lua_pop(lua, 1);
  const bool is_array = marked || lua_rawlen(lua, index) > 0;
  Json json = is_array ? Json::array() : Json::object();
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0)
  {
    if (is_array && lua_isinteger(lua, -2))
      json.push_back(ToJson(lua, lua_gettop(lua)));
    else if (!is_array)
    {
      lua_pushvalue(lua, -2);
      const std::string key = lua_tostring(lua, -1);
      lua_pop(lua, 1);
      json[key] = ToJson(lua, lua_gettop(lua));
    }
    lua_pop(lua, 1);
  }
  return json;
}
} // namespace

Json ToJson(lua_State* lua, int index)
{
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index))
  {
  case LUA_TBOOLEAN:
    return lua_toboolean(lua, index) != 0;
  case LUA_TNUMBER:
    if (lua_isinteger(lua, index))
      return lua_tointeger(lua, index);
    return lua_tonumber(lua, index);
  case LUA_TSTRING:
    return lua_tostring(lua, index);
  case LUA_TTABLE:
  {
    const int top = lua_gettop(lua);
    Json json = TableToJson(lua, index);
    lua_settop(lua, top);
    return json;
  }
  default:
    return nullptr;
  }
}
} // namespace ScenarioRunner
