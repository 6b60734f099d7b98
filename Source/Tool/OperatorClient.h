// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>

#include "Common/Failure.h"
#include "Common/Json.h"

namespace Tool
{
/// Blocking HTTP client for the operator interface of one daemon.
class OperatorClient
{
public:
  /// `address` is IP:port. If `token` is empty, no credentials are sent.
  OperatorClient(std::string address, std::string token);

  /// Returns the body of a response with status 200. Otherwise fails with the kind that matches the
  /// error type in the response (Unauthorized for status 403, Unavailable without a match), with
  /// Protocol if a response with status 200 is not JSON, or with the failure of the HTTP exchange.
  Common::Result<Common::Json> Get(const std::string& path) const;
  Common::Result<Common::Json> Post(const std::string& path, const Common::Json& body) const;

private:
  Common::Result<Common::Json> Call(const std::string& method, const std::string& path,
                                    const std::string& body) const;

  std::string m_address;
  std::string m_token;
};
} // namespace Tool
