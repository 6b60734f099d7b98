// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

namespace UnitTests
{
/// Runs the decoders of messages, table files, claims, records and reports on seeded random bytes
/// and on mutated copies of valid input. Returns the number of decoders that failed.
int RunFuzz(int rounds);
} // namespace UnitTests
