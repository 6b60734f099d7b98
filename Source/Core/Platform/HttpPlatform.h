// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "Common/Json.h"
#include "Http/Client.h"
#include "Platform/Types.h"

namespace Platform
{
/// Client of the platform's services over HTTP with JSON.
class HttpPlatform
{
public:
  /// `base_url` is of the form http://127.0.0.1:7100; `vm` is sent with each request to identify
  /// this VM.
  HttpPlatform(std::string base_url, Common::VmId vm, Common::Milliseconds timeout);

  Common::Task<Common::Result<CommitOutcome>> Commit(Transaction transaction,
                                                     Common::Milliseconds timeout);
  Common::Task<Common::Result<std::vector<StoredRow>>> Read(std::vector<std::string> keys);
  Common::Task<Common::Result<std::vector<StoredRow>>> List(std::string prefix);
  Common::Task<Common::Result<Common::Done>> PutObject(std::string key, std::string content);
  Common::Task<Common::Result<std::string>> GetObject(std::string key);
  Common::Task<Common::Result<std::vector<VmEntry>>> ListVms();

private:
  Http::Request NewRequest(const char* method, const std::string& path) const;

  std::string m_base_url;
  Common::VmId m_vm;
  Common::Milliseconds m_timeout;
  Http::Client m_client;
};
} // namespace Platform
