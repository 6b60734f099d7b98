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
/// Headers by name; names are in lower case.
using Headers = std::map<std::string, std::string>;

/// An outgoing HTTP request.
struct Request
{
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  std::string content_type = "application/json";
  /// Limits the time from the call to the response head and, for `Client::Send`, each read of the
  /// body. The complete response has no time limit: a list whose transfer takes longer than the
  /// timeout could otherwise never be read.
  Common::Milliseconds timeout{10000};
};

struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
};

/// The body of a response as it arrives. Destroying the stream closes the exchange.
class ResponseStream
{
public:
  virtual ~ResponseStream() = default;

  virtual int Status() const = 0;
  virtual const Headers& GetHeaders() const = 0;
  /// Returns the next bytes, or an empty string at the end of a complete body. Fails with
  /// OutcomeUnknown where the body is truncated or has no stated end, with Timeout where no bytes
  /// arrive within `stall_timeout`.
  virtual Common::Task<Common::Result<std::string>> Read(Common::Milliseconds stall_timeout) = 0;
  /// Cancels a pending read and the rest of the response.
  virtual void Cancel() = 0;
};

/// An HTTP/1.1 client for backend servers and the platform; URLs are http://IP:PORT/PATH. Each
/// request has a connection of its own: nothing else ties a response to it, as a server may send
/// one twice. Requests fail with NotSent where no byte can have reached the peer, else with
/// OutcomeUnknown or Timeout.
class Client
{
public:
  /// Sends a request and reads the complete response. Fails with Protocol beyond 64 MB.
  Common::Task<Common::Result<Response>> Send(Request request);
  /// Sends a request and returns the response as soon as its head has been received.
  Common::Task<Common::Result<std::unique_ptr<ResponseStream>>> Open(Request request);

private:
  class Exchange;
  class Stream;
};
} // namespace Http
