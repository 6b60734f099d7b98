// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace UnitTests
{
/// The VM was suspended for `span` just now: the steady clock has not counted it, the boot clock
/// and the time of day have. Holds until the end of the program.
void SuspendVm(Common::Milliseconds span);
} // namespace UnitTests
