// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>

#include "Common/Failure.h"
#include "Common/Json.h"

namespace Tool
{
/// Speaks with the operators' interface of one daemon, blocking.
class OperatorClient
{
public:
  /// `address` is IP:port; `token` may be empty.
  OperatorClient(std::string address, std::string token);

  /// Failures: NotSent, Unavailable, Protocol, or the type that the daemon answered.
  Common::Result<Common::Json> Get(const std::string& path) const;
  Common::Result<Common::Json> Post(const std::string& path, const Common::Json& body) const;

private:
  Common::Result<Common::Json> Call(const std::string& method, const std::string& path,
                                    const std::string& body) const;

  std::string m_address;
  std::string m_token;
};
} // namespace Tool
