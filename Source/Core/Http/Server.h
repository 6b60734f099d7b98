// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/Failure.h"
#include "Common/Json.h"
#include "Common/Task.h"
#include "Http/Client.h"

namespace Http
{
/// A request of a peer and the response to it. Shared by handlers; only the first response counts.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const std::string& Method() const = 0;
  virtual const std::string& Path() const = 0;
  virtual const Headers& RequestHeaders() const = 0;
  virtual const std::string& Body() const = 0;
  /// Returns the value of a query parameter, or an empty string where it is missing.
  virtual std::string Query(const std::string& name) const = 0;
  /// Returns the value of a header, or an empty string where it is missing. `name` is in lower
  /// case.
  std::string Header(const std::string& name) const;

  /// Sends a complete response.
  virtual void Respond(int status, const std::string& content_type, std::string body,
                       const Headers& headers = {}) = 0;
  void RespondJson(int status, const Common::Json& body, const Headers& headers = {});

  /// Starts a response of unknown length.
  virtual void StartStream(int status, const std::string& content_type,
                           const Headers& headers = {}) = 0;
  /// Appends to the stream; waits while too many bytes are unsent. Returns false once the exchange
  /// is closed.
  virtual Common::Task<bool> Write(std::string chunk) = 0;
  /// Ends the stream properly.
  virtual void EndStream() = 0;
  /// Shuts the connection down, so that the peer cannot mistake a truncated response for a complete
  /// one.
  virtual void Abort() = 0;
  virtual bool IsClosed() const = 0;
  /// Sets a callback that runs once when the exchange is finished, also after a complete response;
  /// nullptr removes it.
  virtual void OnClosed(std::function<void()> callback) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<Common::Task<void>(ExchangePtr)>;

/// An HTTP/1.1 server on the main loop, based on libsoup.
class Server
{
public:
  struct Limits
  {
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_exchanges = 20000;
  };

  explicit Server(Limits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Calls `handler` for every path at or below `prefix`; the longest prefix wins.
  void Handle(const std::string& prefix, Handler handler);
  /// Listens on a local address. Fails with InvalidInput where it is malformed, with Unavailable
  /// where listening fails, such as on a port in use.
  Common::Result<Common::Done> Listen(const std::string& address, int port);
  void StopListening();
  /// Returns the number of requests whose response is not complete yet.
  std::size_t OpenExchanges() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Http
