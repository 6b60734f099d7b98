// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <string>

#include "BackendServers/Types.h"
#include "Common/Json.h"
#include "Http/Client.h"

namespace BackendServers
{
/// Parses the report of a backend server. Fails with Protocol if the text is not a valid report.
Common::Result<BackendReport> ParseReport(std::string_view text);

/// Client of backend servers over HTTP: JSON orders and reports, and chat completions in the
/// format of the chat completions API.
class HttpBackendClient
{
public:
  /// `vm` is this VM. It is sent to the backend servers for their logs.
  explicit HttpBackendClient(Common::VmId vm) : m_vm(std::move(vm)) {}

  Common::Task<Common::Result<BackendReport>> Report(std::string address);
  Common::Task<Common::Result<Common::Done>> Order(std::string address, BackendOrder order,
                                                   Common::Milliseconds timeout);

  /// A caller's request to be forwarded to a backend server.
  struct Call
  {
    std::string method = "POST";
    std::string address;
    std::string path;
    std::string body;
    Http::Headers headers;
    Common::RequestId request;
    Common::Milliseconds timeout{0};
  };

  /// Forwards the call and returns the response once its headers have arrived.
  Common::Task<Common::Result<std::unique_ptr<Http::ResponseStream>>> Forward(Call call);

private:
  Http::Request NewRequest(const char* method, const std::string& address,
                           const std::string& path) const;

  Common::VmId m_vm;
  Http::Client m_client;
};
} // namespace BackendServers
