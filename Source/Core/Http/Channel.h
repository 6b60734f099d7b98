// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Http/IdleConnections.h"

namespace Http
{
/// A complete HTTP response, held in memory.
struct CompleteResponse
{
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  const std::string* Find(std::string_view name) const;
};

/// A complete HTTP request, held in memory.
struct CompleteRequest
{
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
};

/// Serializes a request. Adds a Host header where the request has none, and a Content-Length where
/// it has a body.
std::string SerializeRequest(const CompleteRequest& request, const Endpoint& peer);

/// How long a call waits for the next bytes of the response, and how many it accepts. The complete
/// response has no time limit: with a fixed limit, a row of 1,073 KB could never be read over a
/// link of 10 Mbit/s.
struct CallTimeouts
{
  Common::Milliseconds head_timeout;  ///< From the call to the response head.
  Common::Milliseconds stall_timeout; ///< From one byte of the response to the next.
  /// A longer body is not kept; the call fails.
  std::size_t max_body_bytes = std::size_t{32} << 20U;
};

/// How many calls a connection carries.
enum class ConnectionUse
{
  Persistent,
  /// For peers that may send a response a second time: nothing else ties it to its request.
  OneCall,
};

/// Makes HTTP calls to one peer and returns complete responses. A call
/// is never retried. It fails with NotSent only if no byte of the request was sent or its send
/// deadline passed before the rest was, else with Timeout, OutcomeUnknown or Protocol.
class Channel
{
public:
  using Callback = std::function<void(Common::Result<CompleteResponse>)>;

  explicit Channel(const Endpoint& peer, const SocketOptions& options = {},
                   ConnectionUse use = ConnectionUse::Persistent);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  const Endpoint& Peer() const { return m_peer; }
  /// Sends no byte of the request at `send_deadline` or later; the call then fails with NotSent.
  void Call(const CompleteRequest& request, const CallTimeouts& timeouts, Callback callback,
            Common::TimePoint send_deadline = NO_SEND_DEADLINE);
  /// Resets the connections of all pending calls, without invoking their callbacks.
  void Abandon();

private:
  class PendingCall;

  void Finish(PendingCall* call, Common::Result<CompleteResponse> result);

  Endpoint m_peer;
  SocketOptions m_socket_options;
  ConnectionUse m_use;
  IdleConnections m_idle;
  std::list<std::unique_ptr<PendingCall>> m_pending;
};
} // namespace Http
