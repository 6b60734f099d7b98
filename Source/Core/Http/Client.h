// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Common/Task.h"
#include "Common/Units.h"

namespace Http
{
/// Header names are in lower case.
using Headers = std::map<std::string, std::string>;

/// One request of this process to another.
struct Request
{
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  std::string content_type = "application/json";
  /// From the call to the head of the answer; for `Client::Send` also between two pieces of it. The
  /// whole has no limit: a list that took longer than the call would never come.
  Common::Milliseconds timeout{10000};
  /// Never reuses a connection: what may not be repeated must not meet one that just closed.
  bool fresh_connection = false;
};

struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
};

/// The body of an answer as it arrives. Destroying it closes the exchange.
class ResponseStream
{
public:
  virtual ~ResponseStream() = default;

  virtual int Status() const = 0;
  virtual const Headers& GetHeaders() const = 0;
  /// The next bytes; empty at the end of a body that was framed properly.
  /// Fails with OutcomeUnknown where it breaks off, with Timeout where nothing came in `patience`.
  virtual Common::Task<Common::Result<std::string>> Read(Common::Milliseconds patience) = 0;
  /// Ends a read that waits; the answer is no longer wanted.
  virtual void Cancel() = 0;
};

/// HTTP/1.1 towards back ends and the platform, over libsoup.
/// Failures: NotSent where no byte of the request can have reached the peer, else OutcomeUnknown
/// or Timeout.
class Client
{
public:
  Client();
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends and reads the whole answer. Fails with Protocol beyond 64 MB.
  Common::Task<Common::Result<Response>> Send(Request request);
  /// Sends and gives the answer once its head is here.
  Common::Task<Common::Result<std::unique_ptr<ResponseStream>>> Open(Request request);

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};
} // namespace Http
