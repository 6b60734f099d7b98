// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace UnitTests
{
/// Simulates a suspension of the VM for `span`: all clocks except the monotonic one advance by it,
/// as after a real suspension. The offset lasts until the program exits.
void SuspendVm(Common::Milliseconds span);
} // namespace UnitTests
