// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Gateway/Backoff.h"
#include "Gateway/DrainState.h"
#include "Gateway/ServerHealth.h"

namespace Gateway
{
/// What this VM knows of one life of a server beyond its entry: whether it may get requests, and
/// when.
struct ServerCondition
{
  ServerHealth health;
  DrainState drain;
  Backoff backoff;
  /// Another process has the address, or this one has started again: this life is over.
  bool replaced = false;
};
} // namespace Gateway
