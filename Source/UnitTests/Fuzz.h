// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

namespace UnitTests
{
/// Feeds the decoders of messages, table files, claims, records and reports with seeded random
/// bytes and with damaged copies of real ones. Gives the number of decoders that failed.
int RunFuzz(int rounds);
} // namespace UnitTests
