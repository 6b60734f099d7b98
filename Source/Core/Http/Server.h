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
/// One request of a peer and the answer to it. Handlers share it; the answer is given once.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const std::string& Method() const = 0;
  virtual const std::string& Path() const = 0;
  virtual const Headers& RequestHeaders() const = 0;
  virtual const std::string& Body() const = 0;
  /// The value of a query parameter, empty where it is missing.
  virtual std::string Query(const std::string& name) const = 0;
  /// The value of a header in lower case, empty where it is missing.
  std::string Header(const std::string& name) const;

  /// Gives the whole answer.
  virtual void Respond(int status, const std::string& content_type, std::string body,
                       const Headers& headers = {}) = 0;
  void RespondJson(int status, const Common::Json& body, const Headers& headers = {});

  /// Begins an answer of unknown length.
  virtual void StartStream(int status, const std::string& content_type,
                           const Headers& headers = {}) = 0;
  /// Appends to the stream and waits while the peer reads slowly. False once the peer is gone.
  virtual Common::Task<bool> Write(std::string chunk) = 0;
  /// Ends the stream properly.
  virtual void EndStream() = 0;
  /// Breaks the connection, so that the peer cannot take a short answer for a whole one.
  virtual void Abort() = 0;
  virtual bool IsClosed() const = 0;
  /// Calls back once if the peer leaves before the answer is complete.
  virtual void OnClosed(std::function<void()> callback) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<Common::Task<void>(ExchangePtr)>;

/// An HTTP/1.1 server on the main loop, over libsoup.
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
  /// Listens on an address of this machine. Fails where it is taken or malformed.
  Common::Result<Common::Done> Listen(const std::string& address, int port);
  void StopListening();
  /// The number of requests that have no complete answer yet.
  std::size_t OpenExchanges() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Http
