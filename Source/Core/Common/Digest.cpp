// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Digest.h"

#include <glib.h>

namespace Common
{
std::string Sha256Hex(const std::string& text)
{
  char* digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(),
                                               static_cast<gssize>(text.size()));
  std::string copy = digest;
  g_free(digest);
  return copy;
}
} // namespace Common
